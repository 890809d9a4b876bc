// Package operator is the operators' API, version 1, over HTTP and JSON, with
// its client and the rendering of answers as text. The server only checks
// tokens and encoding; all decisions are made by a Backend, which the node
// implements.
//
// Requests carry "Authorization: Bearer TOKEN". The read token permits
// every GET and /v1/apply, which changes nothing; the change token permits all
// requests.
//
//	POST /v1/apply       a declaration; returns an intent.Plan
//	GET  /v1/plan?id=ID  a plan that apply returned
//	POST /v1/confirm     {"plan_id" or "plan", "by", "cause"}; returns ChangeResult
//	GET  /v1/status      Status
//	GET  /v1/explain?service=S&key=K   Explanation
//	GET  /v1/history?limit=N           History
//	POST /v1/drain       {"service", "node", "by", "cause"}; returns ChangeResult
//	POST /v1/undrain     the same
//	POST /v1/quarantine  {"service", "fingerprint", "lift", "by", "cause"}; returns ChangeResult
//	GET  /v1/burn?html=B BurnReport
//
// A failure returns {"error": ErrorBody}.
package operator
