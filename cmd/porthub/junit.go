package main

import (
	"encoding/xml"
	"fmt"
	"os"
)

// The elements of a JUnit XML report, the format of test results that CI systems read.
type (
	junitSuite struct {
		XMLName  xml.Name    `xml:"testsuite"`
		Name     string      `xml:"name,attr"`
		Tests    int         `xml:"tests,attr"`
		Failures int         `xml:"failures,attr"`
		Cases    []junitCase `xml:"testcase"`
	}
	junitCase struct {
		Name     string         `xml:"name,attr"`
		Class    string         `xml:"classname,attr"`
		Time     float64        `xml:"time,attr"` // seconds
		Failures []junitFailure `xml:"failure"`
	}
	junitFailure struct {
		Message string `xml:"message,attr"`
	}
)

func writeJUnit(path string, results []expectationResult) error {
	suite := junitSuite{Name: "porthub expect", Tests: len(results)}
	for _, r := range results {
		testCase := junitCase{Name: r.Name, Class: r.File, Time: r.Duration.Seconds()}
		for _, failure := range r.Failures {
			testCase.Failures = append(testCase.Failures, junitFailure{fmt.Sprintf("%s:%d: %s", r.File, failure.Line, failure)})
		}
		if len(r.Failures) > 0 {
			suite.Failures++
		}
		suite.Cases = append(suite.Cases, testCase)
	}
	text, err := xml.MarshalIndent(suite, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append([]byte(xml.Header), append(text, '\n')...), 0o644); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
