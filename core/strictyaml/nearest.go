package strictyaml

import (
	"fmt"
	"strings"
)

func unknownKey(name string, known []string) string {
	if near := nearest(name, known); near != "" {
		return fmt.Sprintf("unknown key, the nearest known key is %q", near)
	}
	return fmt.Sprintf("unknown key, known keys are %s", strings.Join(known, ", "))
}

// nearest returns the known key that is most like name, or "" if none is similar.
func nearest(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	lower := strings.ToLower(name)
	for _, k := range known {
		kl := strings.ToLower(k)
		d := distance(lower, kl)
		if strings.HasPrefix(kl, lower) || strings.HasPrefix(lower, kl) {
			d = min(d, 1)
		}
		if d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// distance is the Levenshtein distance. Names are cut, as its cost grows with the product of the lengths.
func distance(a, b string) int {
	const longest = 64
	a, b = a[:min(len(a), longest)], b[:min(len(b), longest)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
