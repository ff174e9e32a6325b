package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	onsets = "b d f g k l m n p r s t v z"
	vowels = "a e i o u"
)

// vocabulary holds made-up words, so that generated text can be distinguished from
// prompt text.
var vocabulary = buildVocabulary()

var vocabularySet = func() map[string]bool {
	set := make(map[string]bool, len(vocabulary))
	for _, w := range vocabulary {
		set[w] = true
	}
	return set
}()

func buildVocabulary() []string {
	var words []string
	for _, first := range strings.Fields(onsets) {
		for _, v := range strings.Fields(vowels) {
			for _, second := range strings.Fields(onsets) {
				words = append(words, first+v+second+"ux")
			}
		}
	}
	return words
}

// Token returns the token generated at a position for a prompt's seed, with a leading space.
func Token(seed uint64, position int) string {
	mixed := (seed + uint64(position)) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 32
	return " " + vocabulary[mixed%uint64(len(vocabulary))]
}

// Text returns the first count tokens generated for a prompt.
func Text(prompt string, count int) string {
	seed, start := splitPrompt(prompt)
	var b strings.Builder
	for k := range count {
		b.WriteString(Token(seed, start+k))
	}
	return b.String()
}

// splitPrompt strips generated words from the end of a prompt and returns the seed
// of the rest and the number of stripped words. The prompt of a continuation ends
// with the text generated so far. Counting its tokens and seeding by the rest alone
// makes a continued response identical to an uninterrupted one.
func splitPrompt(prompt string) (seed uint64, start int) {
	rest := prompt
	for {
		at := strings.LastIndexByte(rest, ' ')
		if at < 0 || !vocabularySet[rest[at+1:]] {
			break
		}
		rest = rest[:at]
		start++
	}
	return xxhash.Sum64String(rest), start
}

// ChatText returns the first count tokens generated for one user message. Tests use
// it to check that a response belongs to its request and is complete.
func ChatText(message string, count int) string {
	request := generateRequest{Messages: []chatMessage{{Role: "user", Content: message}}}
	return Text(request.flatPrompt(true), count)
}
