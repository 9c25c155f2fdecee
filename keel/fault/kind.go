package fault

// Kind identifies one entry of the closed list of errors.
type Kind int

// The closed list of error kinds.
const (
	Internal Kind = iota
	BadRequest
	TooLarge
	UnknownService
	NotExist
	Unauthorized
	Forbidden
	Conflict
	InvalidSetting
	BudgetExceeded
	KeyReused
	SequenceGap
	QuotaExhausted
	Overloaded
	NoEndpoint
	DeadlineExceeded
	EndpointRefused
	EndpointFailed
	EndpointTimeout
	BadResponse
	OutcomeUnknown
	ResponseNotStored
	JobNeverFits
	PlatformUnavailable
	NotReady
	Stopping
	HistoryGone
	Usage
	kindCount
)

// Outcome says whether the request that an error answers ran.
type Outcome string

// The outcomes of a request.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Retry says when a caller may send the same request again.
type Retry string

// The advice on retries.
const (
	RetryNever     Retry = "never"
	RetryLater     Retry = "later"
	RetryAsk       Retry = "ask_with_same_key"
	RetryCorrected Retry = "corrected"
)

// Properties is what one kind of error turns into at the edge of a process.
type Properties struct {
	Name     string
	Status   int
	Outcome  Outcome
	Retry    Retry
	ExitCode int
}

// The exit codes of the programs.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitDenied      = 5
	exitUnknown     = 6
)

var answers = [kindCount]Properties{
	Internal:            {"internal", 500, Unknown, RetryAsk, exitFailure},
	BadRequest:          {"bad_request", 400, NotRun, RetryCorrected, exitUsage},
	TooLarge:            {"too_large", 413, NotRun, RetryCorrected, exitUsage},
	UnknownService:      {"unknown_service", 404, NotRun, RetryCorrected, exitUsage},
	NotExist:            {"not_exist", 404, NotRun, RetryCorrected, exitUsage},
	Unauthorized:        {"unauthorized", 401, NotRun, RetryCorrected, exitDenied},
	Forbidden:           {"forbidden", 403, NotRun, RetryCorrected, exitDenied},
	Conflict:            {"conflict", 409, NotRun, RetryCorrected, exitConflict},
	InvalidSetting:      {"invalid_setting", 422, NotRun, RetryCorrected, exitUsage},
	BudgetExceeded:      {"budget_exceeded", 409, NotRun, RetryLater, exitConflict},
	KeyReused:           {"key_reused", 422, NotRun, RetryCorrected, exitConflict},
	SequenceGap:         {"sequence_gap", 409, NotRun, RetryLater, exitConflict},
	QuotaExhausted:      {"quota_exhausted", 429, NotRun, RetryLater, exitUnavailable},
	Overloaded:          {"overloaded", 503, NotRun, RetryLater, exitUnavailable},
	NoEndpoint:          {"no_endpoint", 503, NotRun, RetryLater, exitUnavailable},
	DeadlineExceeded:    {"deadline_exceeded", 504, NotRun, RetryLater, exitUnavailable},
	EndpointRefused:     {"endpoint_refused", 503, NotRun, RetryLater, exitUnavailable},
	EndpointFailed:      {"endpoint_failed", 502, Unknown, RetryAsk, exitUnknown},
	EndpointTimeout:     {"endpoint_timeout", 504, Unknown, RetryAsk, exitUnknown},
	BadResponse:         {"bad_answer", 502, Unknown, RetryAsk, exitUnknown},
	OutcomeUnknown:      {"outcome_unknown", 409, Unknown, RetryNever, exitUnknown},
	ResponseNotStored:   {"answer_not_kept", 409, Ran, RetryNever, exitConflict},
	JobNeverFits:        {"job_never_fits", 422, NotRun, RetryCorrected, exitUsage},
	PlatformUnavailable: {"platform_unavailable", 503, NotRun, RetryLater, exitUnavailable},
	NotReady:            {"not_ready", 503, NotRun, RetryLater, exitUnavailable},
	Stopping:            {"stopping", 503, NotRun, RetryLater, exitUnavailable},
	HistoryGone:         {"history_gone", 410, NotRun, RetryCorrected, exitFailure},
	Usage:               {"usage", 400, NotRun, RetryCorrected, exitUsage},
}

// Kinds returns the closed list of error kinds in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := range kindCount {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Properties returns the table's row for the kind.
func (k Kind) Properties() Properties {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the kind's name as it appears in answers and logs.
func (k Kind) String() string {
	return k.Properties().Name
}

// KindByName returns the kind with the given name, and false if the list has none.
func KindByName(name string) (Kind, bool) {
	for kind, answer := range answers {
		if answer.Name == name {
			return Kind(kind), true
		}
	}
	return Internal, false
}
