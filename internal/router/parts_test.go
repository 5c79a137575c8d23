package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the last message of a prompt, which is the request's own, or the same text
// for another model counting as a shared part.
func TestPromptParts(t *testing.T) {
	parse := func(body string) *completionBody {
		c, err := parseCompletion([]byte(body), true)
		assert.NilError(t, err)
		return c
	}
	chat := parse(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},{"role":"user","content":"b"}]}`)
	other := parse(`{"model":"n","messages":[{"role":"system","content":"s"},{"role":"user","content":"c"}]}`)
	same := parse(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"c"}]}`)
	assert.Equal(t, len(chat.promptParts()), 2)
	assert.Equal(t, len(other.promptParts()), 1)
	assert.Equal(t, same.promptParts()[0], chat.promptParts()[0])
	assert.Assert(t, other.promptParts()[0] != chat.promptParts()[0])
	assert.Equal(t, len(parse(`{"model":"m","messages":[{"role":"user","content":"a"}]}`).promptParts()), 0)
}
