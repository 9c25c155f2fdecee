package fault

// Kind identifies an error kind.
type Kind int

// The error kinds.
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

// Outcome states whether a failed request was executed.
type Outcome string

// The outcomes of a failed request.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Retry states when a caller may send the same request again.
type Retry string

// The retry advice.
const (
	RetryNever       Retry = "never"
	RetryLater       Retry = "later"
	RetryWithSameKey Retry = "ask_with_same_key"
	RetryCorrected   Retry = "corrected"
)

// Properties holds the properties of an error kind in responses, logs and exit codes.
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

var kindProperties = [kindCount]Properties{
	Internal:            {"internal", 500, Unknown, RetryWithSameKey, exitFailure},
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
	EndpointFailed:      {"endpoint_failed", 502, Unknown, RetryWithSameKey, exitUnknown},
	EndpointTimeout:     {"endpoint_timeout", 504, Unknown, RetryWithSameKey, exitUnknown},
	BadResponse:         {"bad_answer", 502, Unknown, RetryWithSameKey, exitUnknown},
	OutcomeUnknown:      {"outcome_unknown", 409, Unknown, RetryNever, exitUnknown},
	ResponseNotStored:   {"answer_not_kept", 409, Ran, RetryNever, exitConflict},
	JobNeverFits:        {"job_never_fits", 422, NotRun, RetryCorrected, exitUsage},
	PlatformUnavailable: {"platform_unavailable", 503, NotRun, RetryLater, exitUnavailable},
	NotReady:            {"not_ready", 503, NotRun, RetryLater, exitUnavailable},
	Stopping:            {"stopping", 503, NotRun, RetryLater, exitUnavailable},
	HistoryGone:         {"history_gone", 410, NotRun, RetryCorrected, exitFailure},
	Usage:               {"usage", 400, NotRun, RetryCorrected, exitUsage},
}

// Kinds returns all error kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for kind := range kindCount {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Properties returns the properties of the kind, those of Internal for an invalid kind.
func (k Kind) Properties() Properties {
	if k < 0 || k >= kindCount {
		return kindProperties[Internal]
	}
	return kindProperties[k]
}

// String returns the kind's name as it appears in responses and logs.
func (k Kind) String() string {
	return k.Properties().Name
}

// KindByName returns the kind with the given name, and false if there is none.
func KindByName(name string) (Kind, bool) {
	for kind, p := range kindProperties {
		if p.Name == name {
			return Kind(kind), true
		}
	}
	return Internal, false
}
