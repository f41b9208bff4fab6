// Package completer defines the JSON types of the chat completion interface of callers and engines.
package completer

import "strings"

// Transfer holds the parameters of requests and answers for the transfer of KV cache from a prefill to a decode engine.
type Transfer struct {
	RemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	RemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	RemoteEngine  string `json:"remote_engine_id,omitempty"`
	RemoteHandle  string `json:"remote_handle,omitempty"`
	RemoteAddress string `json:"remote_address,omitempty"`
	HoldMillis    int64  `json:"hold_ms,omitempty"`
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a completion request to an engine.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	RequestID string    `json:"request_id"`
	Attempt   uint64    `json:"attempt"`
	// Resume is the number of output tokens that the caller has already received.
	Resume   int       `json:"resume_from,omitempty"`
	Transfer *Transfer `json:"kv_transfer_params,omitempty"`
}

// Usage holds the token counts of a request. CachedTokens are those of the prompt that were in the KV cache.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// PrefillAnswer is the body of a prefill engine's response.
type PrefillAnswer struct {
	ID       string   `json:"id"`
	Transfer Transfer `json:"kv_transfer_params"`
	Usage    Usage    `json:"usage"`
	Load     Load     `json:"load"`
}

// Delta is the text that a chunk adds to the output.
type Delta struct {
	Content string `json:"content"`
}

// Choice is an alternative output. A chunk has exactly one.
type Choice struct {
	Index        int    `json:"index"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Chunk is one event of a decode engine's stream. Position is the index of its token in the output, from 0.
type Chunk struct {
	ID       string   `json:"id"`
	Attempt  uint64   `json:"attempt"`
	Position int      `json:"position"`
	Choices  []Choice `json:"choices"`
}

// Load is an engine's load report. Backlog is the number of prompt tokens waiting for prefill; Rate is in tokens per
// second; StepMillis is the time per output token.
type Load struct {
	Engine      string  `json:"engine"`
	Incarnation string  `json:"incarnation"`
	Role        string  `json:"role"`
	Leaving     bool    `json:"leaving"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Slots       int     `json:"slots"`
	Held        int     `json:"held"`
	Blocks      int     `json:"blocks"`
	BlockTokens int     `json:"block_tokens"`
	Backlog     int     `json:"backlog"`
	Rate        float64 `json:"rate"`
	StepMillis  float64 `json:"step_ms"`
}

// Prompt returns the text of all messages, one per line.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Tokens counts the tokens of text as its words; it is not the count of a model's tokenizer.
func Tokens(text string) int { return len(strings.Fields(text)) }
