package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConditionNamesEachCause(t *testing.T) {
	cases := map[string]condition{
		"well":                              {failureRate: failingRate / 2, speed: 1},
		"leaving":                           {leaving: true},
		"evacuated":                         {evacuated: true},
		"cold for 1.2s":                     {cold: 1200 * time.Millisecond},
		"paused after a failure or refusal": {paused: true},
		"evacuated, fails 50%, slow":        {evacuated: true, failureRate: 0.5, speed: slowRatio},
	}
	for want, c := range cases {
		assert.Equal(t, c.String(), want)
	}
}
