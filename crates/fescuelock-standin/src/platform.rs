//! The platform: an object API with versions, conditional updates and waiting watches, and a list
//! of VMs.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::server::Handler;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::Body as _;
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::faults::PlatformFaults;
use crate::reply::{json, query, status};

/// Largest value of an object, in bytes.
const VALUE_MAX_BYTES: usize = 1 << 20;
/// Time for which a call that is never answered is held, in milliseconds.
const HOLD_MS: u64 = 3_600_000;
/// Length of the window in which calls are counted, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;
/// Prefix of the paths of objects.
const OBJECTS_PREFIX: &str = "/v1/objects/";

/// `ListedVm` is one entry of the list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// Address of what runs on it.
    pub address: String,
    /// `entry` or `upstream`.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
    /// For an entry VM its address for other nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes_address: Option<String>,
}

/// `CallCounts` counts the calls of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Writes that were refused because the object had changed.
    pub conflicts: u64,
    /// Largest number of calls within one second.
    pub per_s_max: u64,
    /// Bytes of values and lists that were read or written.
    pub bytes: u64,
}

/// `PlatformStandin` is the platform.
pub struct PlatformStandin {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

struct State {
    objects: BTreeMap<String, Stored>,
    last_version: u64,
    vms: Vec<ListedVm>,
    vms_history: VecDeque<(Instant, Vec<ListedVm>)>,
    faults: PlatformFaults,
    counts: CallCounts,
    recent: VecDeque<Instant>,
    rng: ChaCha8Rng,
}

#[derive(Clone)]
struct Stored {
    body: Bytes,
    version: u64,
    previous: Option<Box<Stored>>,
}

impl PlatformStandin {
    /// Builds an empty platform.
    pub fn new(seed: u64) -> Arc<Self> {
        let state = State {
            objects: BTreeMap::new(),
            last_version: 0,
            vms: Vec::new(),
            vms_history: VecDeque::new(),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            recent: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let (changed, _) = watch::channel(0);
        Arc::new(PlatformStandin { state: Mutex::new(state), changed })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
    }

    /// Returns the faults.
    pub fn faults(&self) -> PlatformFaults {
        self.state().faults.clone()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        let mut state = self.state();
        let old = std::mem::replace(&mut state.vms, vms);
        state.vms_history.push_back((Instant::now(), old));
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> CallCounts {
        self.state().counts
    }

    /// Returns the largest number of calls within one second since the last time this was asked.
    pub fn take_rate_max(&self) -> u64 {
        std::mem::take(&mut self.state().counts.per_s_max)
    }

    /// Returns the value of an object.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.state().objects.get(key).map(|stored| stored.body.clone())
    }

    /// Returns the version of an object, or 0.
    pub fn version(&self, key: &str) -> u64 {
        self.state().objects.get(key).map_or(0, |stored| stored.version)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let faults = self.count(request.method());
        if faults.silent {
            sleep(Duration::from_millis(HOLD_MS)).await;
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = request.uri().path().to_owned();
        let key = path.strip_prefix(OBJECTS_PREFIX);
        let response = match (request.method(), key) {
            (&Method::GET, Some(key)) if query(request.uri(), "watch_after").is_some() => {
                self.watch(key, request.uri(), faults.silent_watches).await
            }

            (&Method::GET, Some(key)) => self.get(key, faults.stale_reads),

            (&Method::PUT, Some(key)) => {
                let (head, body) = request.into_parts();
                match read_all(body, VALUE_MAX_BYTES).await {
                    Ok(body) => self.put(key, &head.headers, body).await,
                    Err(_) => status(StatusCode::PAYLOAD_TOO_LARGE),
                }
            }

            (&Method::GET, None) if path == "/v1/objects" => {
                self.list(query(request.uri(), "prefix").unwrap_or(""))
            }

            (&Method::GET, None) if path == "/v1/vms" => self.vms(request.headers()),

            _ => status(StatusCode::NOT_FOUND),
        };
        self.state().counts.bytes += response.body().size_hint().exact().unwrap_or(0);
        response
    }

    fn count(&self, method: &Method) -> PlatformFaults {
        let mut state = self.state();
        let now = Instant::now();
        let window = Duration::from_millis(RATE_WINDOW_MS);
        state.recent.push_back(now);
        while state.recent.front().is_some_and(|&at| now.duration_since(at) > window) {
            state.recent.pop_front();
        }
        let in_window = u64::try_from(state.recent.len()).unwrap_or(u64::MAX);
        state.counts.per_s_max = state.counts.per_s_max.max(in_window);
        match *method {
            Method::GET => state.counts.reads += 1,
            _ => state.counts.writes += 1,
        }
        state.faults.clone()
    }

    fn get(&self, key: &str, stale: bool) -> Response<Body> {
        match self.state().objects.get(key) {
            Some(Stored { previous: Some(previous), .. }) if stale => object(previous),
            Some(stored) => object(stored),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, key: &str, uri: &http::Uri, silent: bool) -> Response<Body> {
        if silent {
            sleep(Duration::from_millis(HOLD_MS)).await;
        }
        let number = |name| query(uri, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let after: u64 = number("watch_after");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            match self.state().objects.get(key) {
                Some(stored) if stored.version > after => return object(stored),
                None if after == 0 => return status(StatusCode::NOT_FOUND),
                _ => {}
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                return status(StatusCode::NOT_MODIFIED);
            }
        }
    }

    async fn put(&self, key: &str, headers: &HeaderMap, body: Bytes) -> Response<Body> {
        let (version, lost) = {
            let mut state = self.state();
            let current = state.objects.get(key).map(|stored| stored.version);
            if !holds(headers, current) {
                state.counts.conflicts += 1;
                return status(StatusCode::PRECONDITION_FAILED);
            }
            state.last_version += 1;
            state.counts.bytes += u64::try_from(body.len()).unwrap_or(u64::MAX);
            let version = state.last_version;
            let previous = state.objects.remove(key).map(|mut stored| {
                stored.previous = None;
                Box::new(stored)
            });
            state.objects.insert(key.to_owned(), Stored { body, version, previous });
            let share = state.faults.lost_answer_share;
            (version, share > 0.0 && state.rng.random_bool(share))
        };
        self.changed.send_replace(version);
        if lost {
            sleep(Duration::from_millis(HOLD_MS)).await;
        }
        let mut response = status(StatusCode::OK);
        response.headers_mut().insert(header::ETAG, entity_tag(version));
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
        json(StatusCode::OK, &keys)
    }

    /// Answers with the list of VMs, unless the reader has it already.
    fn vms(&self, headers: &HeaderMap) -> Response<Body> {
        let vms = self.listed_vms();
        let mut hasher = DefaultHasher::new();
        vms.hash(&mut hasher);
        let tag = entity_tag(hasher.finish());
        if headers.get(header::IF_NONE_MATCH) == Some(&tag) {
            return status(StatusCode::NOT_MODIFIED);
        }
        let mut response = json(StatusCode::OK, &vms);
        response.headers_mut().insert(header::ETAG, tag);
        response
    }

    /// Returns the list as it was before the lag.
    fn listed_vms(&self) -> Vec<ListedVm> {
        let state = self.state();
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let now = Instant::now();
        let lagging = state
            .vms_history
            .iter()
            .find(|(replaced, _)| lag > Duration::ZERO && now.duration_since(*replaced) < lag);
        lagging.map_or_else(|| state.vms.clone(), |(_, vms)| vms.clone())
    }
}

impl Handler for PlatformStandin {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Tells whether a write's condition holds.
fn holds(headers: &HeaderMap, current: Option<u64>) -> bool {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    match (text(header::IF_NONE_MATCH), text(header::IF_MATCH)) {
        (Some("*"), _) => current.is_none(),
        (_, Some(tag)) => current.is_some() && tag.trim_matches('"').parse().ok() == current,
        _ => true,
    }
}

fn object(stored: &Stored) -> Response<Body> {
    let mut response = Response::new(Body::whole(stored.body.clone()));
    response.headers_mut().insert(header::ETAG, entity_tag(stored.version));
    response
}

fn entity_tag(version: u64) -> HeaderValue {
    HeaderValue::from_str(&format!("\"{version}\"")).expect("a number is valid in a header")
}
