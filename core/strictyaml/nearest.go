package strictyaml

import (
	"fmt"
	"strings"
)

func unknownKeyMessage(name string, known []string) string {
	if near := nearestKey(name, known); near != "" {
		return fmt.Sprintf("unknown key, the nearest known key is %q", near)
	}
	return fmt.Sprintf("unknown key, known keys are %s", strings.Join(known, ", "))
}

// nearestKey returns the known key that is most similar to name, or "" if none is similar.
func nearestKey(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	lower := strings.ToLower(name)
	for _, k := range known {
		lowerKey := strings.ToLower(k)
		d := editDistance(lower, lowerKey)
		if strings.HasPrefix(lowerKey, lower) || strings.HasPrefix(lower, lowerKey) {
			d = min(d, 1)
		}
		if d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance. Names are truncated, because its cost grows with the product of the
// lengths.
func editDistance(a, b string) int {
	const maxLength = 64
	a, b = a[:min(len(a), maxLength)], b[:min(len(b), maxLength)]
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
