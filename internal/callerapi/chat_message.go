package callerapi

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}
