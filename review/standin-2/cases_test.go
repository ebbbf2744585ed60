package standin2

// cases holds the cases by name.
var cases map[string]func()

func init() {
	cases = map[string]func(){
		"cold-server":         cold,
		"departed-server":     departed,
		"dropped-route":       dropped,
		"deadly-request":      deadly,
		"unframed-transcript": unframedTranscript,
		"unframed-edit":       unframedEdit,
		"unframed-sign-off":   unframedSignOff,
	}
}
