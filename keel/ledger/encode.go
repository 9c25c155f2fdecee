package ledger

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"samphirekeel.example/keel/work"
)

// EncodeProgress returns the same encoding as Encode for the record of a job that hasn't ended. The leader writes about
// one such row for each task.
func EncodeProgress(p *work.Progress) []byte {
	if len(p.Failures)+len(p.FailureCounts)+len(p.DoneTasks)+len(p.Crashes)+len(p.Checkpoints) > 0 || len(p.Done) > 1 {
		return Encode(JobRecord{Progress: p})
	}
	const prefix, started, done = `{"progress":{`, `"started":true,`, `"done":{`
	size := len(prefix) + len(started) + len(done) + 32
	for _, steps := range p.Done {
		for _, bits := range steps {
			size += base64.RawStdEncoding.EncodedLen(len(bits)) + len(`"",`)
		}
	}
	row := append(make([]byte, 0, size), prefix...)
	if p.Started {
		row = append(row, started...)
	}
	if len(p.RemoteDataCentres) > 0 {
		away, _ := json.Marshal(p.RemoteDataCentres)
		row = append(append(append(row, `"away":`...), away...), ',')
	}
	for k, steps := range p.Done {
		row = append(append(row, done...), '"')
		row = append(strconv.AppendInt(row, int64(k), 10), `":[`...)
		for i, bits := range steps {
			if i > 0 {
				row = append(row, ',')
			}
			row = append(row, '"')
			row = base64.RawStdEncoding.AppendEncode(row, bits)
			row = append(row, '"')
		}
		row = append(row, `]},`...)
	}
	if row[len(row)-1] == ',' {
		row = row[:len(row)-1]
	}
	return append(row, `}}`...)
}
