package recorder

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

// extension is the file name extension of segments.
const extension = ".rec"

// segmentName returns a segment's file name. The names of a node's segments sort by time.
func segmentName(node string, incarnation int64, segment int) string {
	return fmt.Sprintf("%s-%020d-%06d%s", node, incarnation, segment, extension)
}

// Segments returns the paths of a node's segments in a folder, oldest first. If node is "",
// it returns those of all nodes, sorted by node.
func Segments(dir, node string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+extension))
	if err != nil {
		return nil, err
	}
	var segments []string
	for _, file := range files {
		if name, ok := segmentNode(file); ok && (node == "" || name == node) {
			segments = append(segments, file)
		}
	}
	sort.Strings(segments)
	return segments, nil
}

// segmentNode returns the node in a segment's file name, and whether the file has the name
// of a segment.
func segmentNode(file string) (string, bool) {
	parts := strings.Split(strings.TrimSuffix(filepath.Base(file), extension), "-")
	if len(parts) < 3 {
		return "", false
	}
	for _, number := range parts[len(parts)-2:] {
		if _, err := strconv.ParseUint(number, 10, 64); err != nil {
			return "", false
		}
	}
	return strings.Join(parts[:len(parts)-2], "-"), true
}

// removeOldest removes a node's oldest segments until the rest take no more than limit
// bytes. It keeps the newest one, which is being written.
func removeOldest(dir, node string, limit int64) error {
	files, err := Segments(dir, node)
	if err != nil {
		return err
	}
	total := int64(0)
	sizes := make([]int64, len(files))
	for i, file := range files {
		if info, err := os.Stat(file); err == nil {
			sizes[i] = info.Size()
			total += sizes[i]
		}
	}
	for i := 0; i < len(files)-1 && total > limit; i++ {
		if err := os.Remove(files[i]); err != nil {
			return err
		}
		total -= sizes[i]
	}
	return nil
}
