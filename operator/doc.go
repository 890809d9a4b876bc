// Package operator is the operators' API, version 1, over HTTP and JSON, with
// its client and the rendering of answers for people. The server decides
// nothing: it checks tokens and encoding and calls a Backend, which the node
// implements.
//
// Requests carry "Authorization: Bearer TOKEN". The read token allows every
// GET and /v1/apply, which changes nothing; the change token allows all.
//
//	POST /v1/apply       a declaration; answers an intent.Plan
//	GET  /v1/plan?id=ID  a plan that apply answered
//	POST /v1/confirm     {"plan_id" or "plan", "by", "cause"}; answers Accepted
//	GET  /v1/status      Status
//	GET  /v1/explain?service=S&key=K   Explanation
//	GET  /v1/history?limit=N           History
//	POST /v1/drain       {"service", "node", "by", "cause"}; answers Accepted
//	POST /v1/undrain     the same
//	POST /v1/quarantine  {"service", "fingerprint", "lift", "by", "cause"}; answers Accepted
//	GET  /v1/burn?html=B Burn
//
// Failures answer {"error": ErrorBody}.
package operator
