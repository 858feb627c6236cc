//! Names of request and response headers.

/// Identifies duplicates of one request, whichever node receives them.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries `new`, which starts a session, or a session token.
pub const SESSION: &str = "x-fescuelock-session";
/// Overrides the team's minimum quality for one request, from 0 to 1.
pub const QUALITY: &str = "x-fescuelock-quality";
/// Carries the id of the request in every response.
pub const REQUEST_ID: &str = "x-request-id";
/// Names the model version that served the request.
pub const VERSION: &str = "x-fescuelock-version";
/// Carries the cost in millionths of the deployment's currency.
pub const COST_MICROS: &str = "x-fescuelock-cost-micros";
/// Tells whether the request was executed: `ran`, `not_run` or `unknown`.
pub const OUTCOME: &str = "x-fescuelock-outcome";
/// Marks a response that was stored for an earlier request with the same idempotency key.
pub const REPLAYED: &str = "x-fescuelock-replayed";
