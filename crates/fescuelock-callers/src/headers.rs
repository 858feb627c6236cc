//! Names of the headers that callers send and receive.

/// Makes duplicates of one request known, whichever node receives them.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries `new` or a session token.
pub const SESSION: &str = "x-fescuelock-session";
/// Overrides the team's quality need for one request, from 0 to 1.
pub const QUALITY: &str = "x-fescuelock-quality";
/// Carries the id of the request in every answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Names the version that ran.
pub const VERSION: &str = "x-fescuelock-version";
/// States the cost in millionths of the deployment's currency.
pub const COST_MICROS: &str = "x-fescuelock-cost-micros";
/// States `ran`, `not_run` or `unknown`.
pub const OUTCOME: &str = "x-fescuelock-outcome";
/// Marks an answer that was stored for an earlier request with the same idempotency key.
pub const REPLAYED: &str = "x-fescuelock-replayed";
