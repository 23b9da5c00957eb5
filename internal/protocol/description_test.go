package protocol

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
)

// TestLinesOfGangMembers guards against the list of a large gang's machines on a line of more than 64 KiB, which a
// response must not contain. Lists of up to 256 machines are encoded as before, on one line.
func TestLinesOfGangMembers(t *testing.T) {
	for _, count := range []int{0, 1, 256, 257, 5000} {
		t.Run(fmt.Sprint(count, " members"), func(t *testing.T) {
			list := GangMembers{Members: []GangMember{}}
			for i := range count {
				list.Members = append(list.Members, GangMember{Index: i, Machine: "i-0000000000000001", Address: "255.255.255.255:65535"})
			}
			body := list.Encode()
			for _, line := range bytes.Split(body, []byte("\n")) {
				if len(line) > MaxBody {
					t.Errorf("a line of %d bytes", len(line))
				}
			}
			if count <= membersPerLine && !bytes.Equal(body, Encode(list)) {
				t.Errorf("encoded as %.80s, want %.80s", body, Encode(list))
			}
			var decoded GangMembers
			if err := Decode(body, &decoded); err != nil || !reflect.DeepEqual(decoded, list) {
				t.Errorf("decoded %d members, want %d (error: %v)", len(decoded.Members), count, err)
			}
		})
	}
}
