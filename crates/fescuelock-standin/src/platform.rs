//! The platform: an object store with versions, conditional writes and long-poll watches, and a
//! list of VMs.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::Body as _;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::faults::PlatformFaults;
use crate::reply::{json_response, query_parameter, status_response};

/// Largest size of an object's value, in bytes.
const VALUE_MAX_BYTES: usize = 1 << 20;
/// Time for which a call that stays unanswered is held open, in milliseconds.
const UNANSWERED_HOLD_MS: u64 = 3_600_000;
/// Length of the sliding window of the call rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;
/// Path prefix of objects.
const OBJECTS_PREFIX: &str = "/v1/objects/";

/// `ListedVm` is an entry of the list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// Address of the process on the VM.
    pub address: String,
    /// `entry` or `upstream`.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Address for other nodes, if this is an entry VM.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes_address: Option<String>,
}

/// `CallCounts` counts the calls to the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Writes that were rejected because their precondition did not hold.
    pub conflicts: u64,
    /// Peak number of calls within one second.
    pub per_s_max: u64,
    /// Bytes of values and lists that were read or written.
    pub bytes: u64,
}

/// `PlatformStandin` is the stand-in for the platform.
pub struct PlatformStandin {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

struct State {
    objects: BTreeMap<String, StoredObject>,
    last_version: u64,
    vms: Vec<ListedVm>,
    vms_history: VecDeque<(Instant, Vec<ListedVm>)>,
    faults: PlatformFaults,
    counts: CallCounts,
    recent_calls: VecDeque<Instant>,
    rng: ChaCha8Rng,
}

#[derive(Clone)]
struct StoredObject {
    body: Bytes,
    version: u64,
    previous: Option<Box<StoredObject>>,
}

impl PlatformStandin {
    /// Creates a platform without objects and VMs.
    pub fn new(seed: u64) -> Arc<Self> {
        let state = State {
            objects: BTreeMap::new(),
            last_version: 0,
            vms: Vec::new(),
            vms_history: VecDeque::new(),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            recent_calls: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let (changed, _) = watch::channel(0);
        Arc::new(PlatformStandin { state: Mutex::new(state), changed })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> PlatformFaults {
        self.state().faults.clone()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        let mut state = self.state();
        let old = std::mem::replace(&mut state.vms, vms);
        state.vms_history.push_back((Instant::now(), old));
    }

    /// Returns the call counts.
    pub fn counts(&self) -> CallCounts {
        self.state().counts
    }

    /// Returns the peak number of calls within one second, and resets it.
    pub fn take_peak_calls_per_s(&self) -> u64 {
        std::mem::take(&mut self.state().counts.per_s_max)
    }

    /// Returns the value of an object.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.state().objects.get(key).map(|stored| stored.body.clone())
    }

    /// Returns the version of an object, or 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.state().objects.get(key).map_or(0, |stored| stored.version)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<RequestBody>) -> Response<Body> {
        let faults = self.count_call(request.method());
        if faults.silent {
            sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = request.uri().path().to_owned();
        let key = path.strip_prefix(OBJECTS_PREFIX);
        let response = match (request.method(), key) {
            (&Method::GET, Some(key))
                if query_parameter(request.uri(), "watch_after").is_some() =>
            {
                self.watch(key, request.uri(), faults.silent_watches).await
            }

            (&Method::GET, Some(key)) => self.get(key, faults.stale_reads),

            (&Method::PUT, Some(key)) => {
                let (head, body) = request.into_parts();
                match read_all(body, VALUE_MAX_BYTES).await {
                    Ok(body) => self.put(key, &head.headers, body).await,
                    Err(_) => status_response(StatusCode::PAYLOAD_TOO_LARGE),
                }
            }

            (&Method::GET, None) if path == "/v1/objects" => {
                self.list(query_parameter(request.uri(), "prefix").unwrap_or(""))
            }

            (&Method::GET, None) if path == "/v1/vms" => self.vms(request.headers()),

            _ => status_response(StatusCode::NOT_FOUND),
        };
        self.state().counts.bytes += response.body().size_hint().exact().unwrap_or(0);
        response
    }

    fn count_call(&self, method: &Method) -> PlatformFaults {
        let mut state = self.state();
        let now = Instant::now();
        let window = Duration::from_millis(RATE_WINDOW_MS);
        state.recent_calls.push_back(now);
        while state.recent_calls.front().is_some_and(|&at| now.duration_since(at) > window) {
            state.recent_calls.pop_front();
        }
        let in_window = u64::try_from(state.recent_calls.len()).unwrap_or(u64::MAX);
        state.counts.per_s_max = state.counts.per_s_max.max(in_window);
        match *method {
            Method::GET => state.counts.reads += 1,
            _ => state.counts.writes += 1,
        }
        state.faults.clone()
    }

    fn get(&self, key: &str, stale: bool) -> Response<Body> {
        match self.state().objects.get(key) {
            Some(StoredObject { previous: Some(previous), .. }) if stale => {
                object_response(previous)
            }
            Some(stored) => object_response(stored),
            None => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, key: &str, uri: &http::Uri, silent: bool) -> Response<Body> {
        if silent {
            sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        let query_number =
            |name| query_parameter(uri, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let after: u64 = query_number("watch_after");
        let deadline = Instant::now() + Duration::from_millis(query_number("wait_ms"));
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            match self.state().objects.get(key) {
                Some(stored) if stored.version > after => return object_response(stored),
                None if after == 0 => return status_response(StatusCode::NOT_FOUND),
                _ => {}
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                return status_response(StatusCode::NOT_MODIFIED);
            }
        }
    }

    async fn put(&self, key: &str, headers: &HeaderMap, body: Bytes) -> Response<Body> {
        let (version, answer_lost) = {
            let mut state = self.state();
            let current = state.objects.get(key).map(|stored| stored.version);
            if !precondition_holds(headers, current) {
                state.counts.conflicts += 1;
                return status_response(StatusCode::PRECONDITION_FAILED);
            }
            state.last_version += 1;
            state.counts.bytes += u64::try_from(body.len()).unwrap_or(u64::MAX);
            let version = state.last_version;
            let previous = state.objects.remove(key).map(|mut stored| {
                stored.previous = None;
                Box::new(stored)
            });
            state.objects.insert(key.to_owned(), StoredObject { body, version, previous });
            let share = state.faults.lost_answer_share;
            (version, share > 0.0 && state.rng.random_bool(share))
        };
        self.changed.send_replace(version);
        if answer_lost {
            sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        let mut response = status_response(StatusCode::OK);
        response.headers_mut().insert(header::ETAG, etag(version));
        response
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let state = self.state();
        let keys: Vec<&String> = state
            .objects
            .range(prefix.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix))
            .collect();
        json_response(StatusCode::OK, &keys)
    }

    /// Answers with the list of VMs, or with 304 if the entity tag shows that the client has it.
    fn vms(&self, headers: &HeaderMap) -> Response<Body> {
        let vms = self.listed_vms();
        let mut hasher = DefaultHasher::new();
        vms.hash(&mut hasher);
        let tag = etag(hasher.finish());
        if headers.get(header::IF_NONE_MATCH) == Some(&tag) {
            return status_response(StatusCode::NOT_MODIFIED);
        }
        let mut response = json_response(StatusCode::OK, &vms);
        response.headers_mut().insert(header::ETAG, tag);
        response
    }

    /// Returns the list of VMs as it was `list_lag_ms` ago.
    fn listed_vms(&self) -> Vec<ListedVm> {
        let state = self.state();
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let now = Instant::now();
        let outdated = state
            .vms_history
            .iter()
            .find(|(replaced, _)| lag > Duration::ZERO && now.duration_since(*replaced) < lag);
        outdated.map_or_else(|| state.vms.clone(), |(_, vms)| vms.clone())
    }
}

impl Handler for PlatformStandin {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Returns whether the precondition of a write (`If-Match` or `If-None-Match: *`) holds.
fn precondition_holds(headers: &HeaderMap, current: Option<u64>) -> bool {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    match (text(header::IF_NONE_MATCH), text(header::IF_MATCH)) {
        (Some("*"), _) => current.is_none(),
        (_, Some(tag)) => current.is_some() && tag.trim_matches('"').parse().ok() == current,
        _ => true,
    }
}

fn object_response(stored: &StoredObject) -> Response<Body> {
    let mut response = Response::new(Body::buffered(stored.body.clone()));
    response.headers_mut().insert(header::ETAG, etag(stored.version));
    response
}

fn etag(version: u64) -> HeaderValue {
    HeaderValue::from_str(&format!("\"{version}\"")).expect("a number is valid in a header")
}
