package config

import "math"

// nearest returns the candidate with the smallest edit distance to a name, or the first one of several.
func nearest(name string, candidates []string) string {
	best, smallest := "", math.MaxInt
	for _, candidate := range candidates {
		if distance := editDistance(name, candidate); distance < smallest {
			best, smallest = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal = row[j+1]
			row[j+1] = cost
		}
	}
	return row[len(b)]
}
