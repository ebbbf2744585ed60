package standin3

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	recordPieces     = 40
	recordPieceBytes = 8 << 10
	recordPause      = 100 * time.Millisecond
)

// serveUnframedRecord sends a plain answer of 320 KB that has neither a length nor chunks and ends with its connection.
func serveUnframedRecord(c *call) bool {
	fmt.Printf("%s: runner %s runs it\n", c.attempt, c.runner.id)
	head := strings.Replace(c.head(http.StatusOK), "Keep-Alive: timeout=10", "Connection: close", 1)
	fmt.Fprintf(c.conn, "%sContent-Type: text/plain\r\n\r\n", head)
	for range recordPieces {
		time.Sleep(recordPause)
		if _, err := c.conn.Write(bytes.Repeat([]byte("r"), recordPieceBytes)); err != nil {
			return false
		}
	}
	fmt.Printf("%s: runner %s has sent the whole body\n", c.attempt, c.runner.id)

	return false
}

// playUnframedRecords lets one of four runners crash while it sends large answers without a length. No client may get a part of a body as a
// whole one.
func playUnframedRecords(w *world) (bool, error) {
	w.store.put("op/config", configuration(1, route("record", "safe", servicePlain, 2, false)))

	return w.playUnframed(servicePlain, "unframed-records", w.sendRecord)
}

// sendRecord returns whether the client has got a success with a part of the body that looks whole.
func (w *world) sendRecord(g *gateway, n int) bool {
	c, err := newClient(g)
	if err != nil {
		return false
	}
	defer c.close()
	attempt := fmt.Sprintf("record-%d", n+1)
	o := c.send(http.MethodGet, fmt.Sprintf("/record/%d", n+1), attempt, "", nil, 12*time.Second)
	isCut := o.status == http.StatusOK && o.err == nil && len(o.body) < recordPieces*recordPieceBytes
	w.write("%s: the client gets %d, %d of %d bytes, error %v, a part that looks whole: %v", attempt, o.status, len(o.body), recordPieces*recordPieceBytes, o.err, isCut)

	return isCut
}
