//! Settings of the router daemon, read from an INI file. All errors of a file are reported at once.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use fescuelock_callers::intake::RequestLimits;
use fescuelock_core::ids::KeyHash;
use fescuelock_core::session::{SessionKeys, SigningKey};
use fescuelock_nodes::link::NodeKeys;
use fescuelock_nodes::mesh::MeshOptions;
use fescuelock_store::claims::ClaimOptions;
use fescuelock_store::config::RulesWatcherOptions;
use fescuelock_upstreams::registry::RegistryOptions;
use ini::{Ini, ParseOption};

use crate::handler::RequestOptions;
use crate::{Error, Result};

/// Minimum length of the secret of a session or node key, in bytes.
const SECRET_MIN_BYTES: usize = 16;

/// `LogFormat` is the format of log records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per record.
    #[default]
    Text,
    /// One JSON object per record.
    Json,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(()),
        }
    }
}

/// `ShutdownOptions` configures the graceful shutdown of a node.
#[derive(Debug, Clone)]
pub struct ShutdownOptions {
    /// Time that the load balancer gets to notice that the node is not ready, in milliseconds.
    /// Defaults to 5,000.
    pub balancer_delay_ms: u64,
    /// Timeout for requests in flight to finish, in milliseconds. Defaults to 600,000.
    pub drain_ms: u64,
}

impl Default for ShutdownOptions {
    fn default() -> Self {
        ShutdownOptions { balancer_delay_ms: 5_000, drain_ms: 600_000 }
    }
}

/// `Settings` configures one node.
#[derive(Clone)]
pub struct Settings {
    /// Id of the node, unique in the deployment.
    pub node: String,
    /// Availability zone of the node, as the rules name it.
    pub zone: String,
    /// Listen address for callers. Defaults to `127.0.0.1:7100`.
    pub callers_listen: String,
    /// Listen address for operators. Defaults to `127.0.0.1:7200`.
    pub operators_listen: String,
    /// Hash of the key that `/status` and `/metrics` require, if any.
    pub operators_key_hash: Option<KeyHash>,
    /// Address of the platform. Defaults to `127.0.0.1:7400`.
    pub platform_address: String,
    /// Timeout of one call to the platform, in milliseconds. Defaults to 1,000.
    pub platform_call_timeout_ms: u64,
    /// Interval at which the list of VMs is polled, in milliseconds. Defaults to 1,000.
    pub vms_interval_ms: u64,
    /// Timeout for receiving the headers of a request, in milliseconds. Defaults to 10,000.
    pub header_timeout_ms: u64,
    /// Memory of the VM, in megabytes, if it is stated. Without it, request bodies and answers may
    /// take 16 GiB.
    pub memory_mb: Option<u64>,
    /// Maximum number of open descriptors of the process, if it is stated. Without it, there may be
    /// 65,536 connections of callers.
    pub descriptors_max: Option<u64>,
    /// Limits on the requests of callers.
    pub limits: RequestLimits,
    /// Timeouts, retries and limits of request handling.
    pub requests: RequestOptions,
    /// Connections to upstreams.
    pub upstreams: RegistryOptions,
    /// How the node watches the platform for new rules.
    pub follower: RulesWatcherOptions,
    /// Claims of idempotency keys.
    pub claims: ClaimOptions,
    /// Maximum time that a bill waits for its batch, in milliseconds. Defaults to 500.
    pub bills_flush_ms: u64,
    /// Keys of session tokens. The first one signs new tokens.
    pub session_keys: SessionKeys,
    /// Listen address for other nodes. Defaults to `127.0.0.1:7300`.
    pub nodes_listen: String,
    /// Links to other nodes. Without keys the node has no links.
    pub mesh: MeshOptions,
    /// Graceful shutdown.
    pub shutdown: ShutdownOptions,
    /// Format of log records.
    pub log_format: LogFormat,
    /// StatsD address that metrics are sent to, if any.
    pub statsd_address: Option<SocketAddr>,
}

impl Settings {
    /// Builds settings with the default values.
    pub fn new(node: String, zone: String, session_keys: SessionKeys) -> Self {
        Settings {
            node,
            zone,
            callers_listen: "127.0.0.1:7100".to_owned(),
            operators_listen: "127.0.0.1:7200".to_owned(),
            operators_key_hash: None,
            platform_address: "127.0.0.1:7400".to_owned(),
            platform_call_timeout_ms: 1_000,
            vms_interval_ms: 1_000,
            header_timeout_ms: 10_000,
            memory_mb: None,
            descriptors_max: None,
            limits: RequestLimits::default(),
            requests: RequestOptions::default(),
            upstreams: RegistryOptions::default(),
            follower: RulesWatcherOptions::default(),
            claims: ClaimOptions::default(),
            bills_flush_ms: 500,
            session_keys,
            nodes_listen: "127.0.0.1:7300".to_owned(),
            mesh: MeshOptions::default(),
            shutdown: ShutdownOptions::default(),
            log_format: LogFormat::default(),
            statsd_address: None,
        }
    }

    /// Tells whether the node keeps links to other nodes.
    pub fn is_linked(&self) -> bool {
        !self.mesh.keys.keys.is_empty()
    }
}

/// `InvalidSetting` is one error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Name of the file.
    pub file: String,
    /// Section of the key.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is wrong and which values are accepted.
    pub message: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: [{}] {}: {}", self.file, self.section, self.key, self.message)
    }
}

/// Parses settings from the text of an INI file.
///
/// # Errors
///
/// Returns [`Error::Settings`] with all errors of the file.
pub fn parse(file: &str, text: &str) -> Result<Settings> {
    let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
    let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
        let message = format!("is not valid INI: {error}");
        Error::Settings(vec![InvalidSetting {
            file: file.to_owned(),
            section: String::new(),
            key: format!("line {}", error.line),
            message,
        }])
    })?;
    let mut reader =
        IniReader { file, ini: &ini, accepted_keys: BTreeSet::new(), invalid_settings: Vec::new() };
    let settings = read(&mut reader);
    reader.report_unknown_keys();
    match settings {
        Some(settings) if reader.invalid_settings.is_empty() => Ok(settings),
        _ => Err(Error::Settings(reader.invalid_settings)),
    }
}

/// Lists all keys that a settings file accepts, as `section.key`.
pub fn keys() -> Vec<String> {
    let ini = Ini::new();
    let mut reader = IniReader {
        file: "",
        ini: &ini,
        accepted_keys: BTreeSet::new(),
        invalid_settings: Vec::new(),
    };
    read(&mut reader);
    reader.accepted_keys.iter().map(|(section, key)| format!("{section}.{key}")).collect()
}

/// Reads all keys. Returns `None` if a required key is missing or invalid.
fn read(reader: &mut IniReader<'_>) -> Option<Settings> {
    let node = reader.required::<Name>("node", "id", Name::EXPECTED);
    let zone = reader.required::<Name>("node", "zone", Name::EXPECTED);
    let keys = reader.required::<KeyList>("sessions", "keys", KeyList::EXPECTED);
    // Placeholders replace missing values, so that all errors are found in one pass.
    let has_required = node.is_some() && zone.is_some() && keys.is_some();
    let node = node.map_or_else(String::new, |name| name.0);
    let zone = zone.map_or_else(String::new, |name| name.0);
    let placeholder = || vec![SigningKey { name: String::new(), secret: Vec::new() }];
    let keys = SessionKeys::try_new(keys.map_or_else(placeholder, |keys| keys.0)).ok()?;
    let mut settings = Settings::new(node, zone, keys);
    read_interfaces(reader, &mut settings);
    read_request_options(reader, &mut settings);
    read_operation(reader, &mut settings);
    settings.claims.node.clone_from(&settings.node);
    settings.mesh.node.clone_from(&settings.node);
    settings.mesh.zone.clone_from(&settings.zone);
    has_required.then_some(settings)
}

fn read_interfaces(reader: &mut IniReader<'_>, settings: &mut Settings) {
    reader.address("callers", "listen", &mut settings.callers_listen);
    reader.number("callers", "header_timeout_ms", 10..=600_000, &mut settings.header_timeout_ms);
    let limits = &mut settings.limits;
    reader.number("callers", "body_timeout_ms", 10..=600_000, &mut limits.body_timeout_ms);
    reader.number("callers", "body_max_bytes", 1_024..=64 << 20, &mut limits.body_max_bytes);
    reader.number("callers", "headers_max", 8..=150, &mut limits.headers_max);
    reader.number("callers", "requests_max", 1..=100_000, &mut settings.requests.requests_max);
    let idle_timeout_ms = &mut limits.body_idle_timeout_ms;
    reader.number("callers", "body_idle_timeout_ms", 10..=600_000, idle_timeout_ms);
    settings.memory_mb = reader.optional_number("node", "memory_mb", 32..=1 << 20);
    settings.descriptors_max = reader.optional_number("node", "descriptors_max", 256..=1 << 20);
    reader.address("operators", "listen", &mut settings.operators_listen);
    settings.operators_key_hash =
        reader.optional("operators", "key_hash", "`sha256:` and 64 hexadecimal digits");
    reader.address("platform", "address", &mut settings.platform_address);
    let timeout_ms = &mut settings.platform_call_timeout_ms;
    reader.number("platform", "call_timeout_ms", 10..=60_000, timeout_ms);
    let watch_ms = &mut settings.follower.watch_wait_ms;
    reader.number("platform", "watch_wait_ms", 100..=60_000, watch_ms);
    reader.number("platform", "retry_ms", 10..=60_000, &mut settings.follower.retry_ms);
    reader.number("platform", "retry_max_ms", 10..=60_000, &mut settings.follower.retry_max_ms);
    reader.number("platform", "vms_interval_ms", 100..=60_000, &mut settings.vms_interval_ms);
}

fn read_request_options(reader: &mut IniReader<'_>, settings: &mut Settings) {
    let upstreams = &mut settings.upstreams;
    reader.number("upstreams", "connect_timeout_ms", 1..=60_000, &mut upstreams.connect_timeout_ms);
    reader.number("upstreams", "suspect_ms", 0..=60_000, &mut upstreams.suspect_ms);
    let requests = &mut settings.requests;
    reader.number(
        "upstreams",
        "answer_timeout_ms",
        10..=3_600_000,
        &mut requests.answer_timeout_ms,
    );
    reader.number("upstreams", "stream_idle_ms", 10..=600_000, &mut requests.stream_idle_ms);
    reader.number(
        "upstreams",
        "answer_max_bytes",
        1_024..=64 << 20,
        &mut requests.answer_max_bytes,
    );
    reader.number("upstreams", "attempts_max", 1..=10, &mut requests.attempts_max);
    reader.number("claims", "wait_ms", 0..=600_000, &mut requests.claim_wait_ms);
    reader.number("claims", "timeout_ms", 10..=60_000, &mut settings.claims.claim_timeout_ms);
    let retention_ms = &mut settings.claims.retention_ms;
    reader.number("claims", "retention_ms", 60_000..=604_800_000, retention_ms);
    reader.number("claims", "shards", 1..=4_096, &mut settings.claims.shards);
    reader.number("bills", "flush_ms", 10..=60_000, &mut settings.bills_flush_ms);
}

fn read_operation(reader: &mut IniReader<'_>, settings: &mut Settings) {
    reader.address("nodes", "listen", &mut settings.nodes_listen);
    if let Some(keys) = reader.optional::<KeyList>("nodes", "keys", KeyList::EXPECTED) {
        settings.mesh.keys = NodeKeys { keys: keys.0 };
    }
    if let Some(seeds) = reader.optional::<AddressList>("nodes", "seeds", AddressList::EXPECTED) {
        settings.mesh.seeds = seeds.0;
    }
    let mesh = &mut settings.mesh;
    reader.number("nodes", "links", 1..=16, &mut mesh.links);
    reader.number("nodes", "heartbeat_ms", 100..=60_000, &mut mesh.heartbeat_ms);
    reader.number("nodes", "silence_ms", 300..=600_000, &mut mesh.silence_ms);
    reader.number("nodes", "suspicion_ms", 300..=600_000, &mut mesh.suspicion_ms);
    reader.number("nodes", "hold_timeout_ms", 1..=10_000, &mut mesh.hold_timeout_ms);
    reader.number("nodes", "take_over_ms", 300..=600_000, &mut mesh.take_over_ms);
    let shutdown = &mut settings.shutdown;
    reader.number("shutdown", "balancer_delay_ms", 0..=600_000, &mut shutdown.balancer_delay_ms);
    reader.number("shutdown", "drain_ms", 0..=86_400_000, &mut shutdown.drain_ms);
    settings.log_format = reader.optional("log", "form", "text or json").unwrap_or_default();
    settings.statsd_address = reader.optional("metrics", "statsd_address", "IP:PORT");
}

/// `Name` is an id of letters, digits, `-`, `_` and `.`.
struct Name(String);

impl Name {
    const EXPECTED: &'static str = "letters, digits, `-`, `_` and `.`";
}

impl FromStr for Name {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        let is_allowed =
            |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        match !text.is_empty() && text.chars().all(is_allowed) {
            true => Ok(Name(text.to_owned())),
            false => Err(()),
        }
    }
}

/// `KeyList` is a list of named secret keys.
struct KeyList(Vec<SigningKey>);

impl KeyList {
    const EXPECTED: &'static str = "NAME:HEX[,NAME:HEX...] with at least 16 bytes each";
}

impl FromStr for KeyList {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        let mut keys = Vec::new();
        for item in text.split(',') {
            let (name, hex_digits) = item.trim().split_once(':').ok_or(())?;
            let name = name.parse::<Name>()?.0;
            let secret = decode_hex(hex_digits).ok_or(())?;
            if name.contains('.') || secret.len() < SECRET_MIN_BYTES {
                return Err(());
            }
            keys.push(SigningKey { name, secret });
        }
        Ok(KeyList(keys))
    }
}

fn decode_hex(hex_digits: &str) -> Option<Vec<u8>> {
    hex::decode(hex_digits).ok()
}

/// `AddressList` is a list of socket addresses.
struct AddressList(Vec<String>);

impl AddressList {
    const EXPECTED: &'static str = "IP:PORT[,IP:PORT...]";
}

impl FromStr for AddressList {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        let parse = |item: &str| {
            item.trim().parse::<SocketAddr>().map(|socket_address| socket_address.to_string())
        };
        let items = text.split(',').map(|item| parse(item).map_err(|_| ()));
        items.collect::<std::result::Result<_, _>>().map(AddressList)
    }
}

/// `IniReader` reads values from an INI file and collects all errors.
struct IniReader<'a> {
    file: &'a str,
    ini: &'a Ini,
    accepted_keys: BTreeSet<(&'static str, &'static str)>,
    invalid_settings: Vec<InvalidSetting>,
}

impl IniReader<'_> {
    fn optional<T: FromStr>(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        self.accepted_keys.insert((section, key));
        let value = self.ini.get_from(Some(section), key)?;
        let parsed = value.trim().parse().ok();
        if parsed.is_none() {
            self.report_invalid(section, key, format!("must be {expected}"));
        }
        parsed
    }

    fn required<T: FromStr>(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.accepted_keys.insert((section, key));
            self.report_invalid(section, key, format!("is missing; must be {expected}"));
            return None;
        }
        self.optional(section, key, expected)
    }

    fn number<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: std::ops::RangeInclusive<T>,
        value: &mut T,
    ) where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        match self.optional::<T>(section, key, &expected) {
            Some(number) if range.contains(&number) => *value = number,
            Some(_) => self.report_invalid(section, key, format!("must be {expected}")),
            None => {}
        }
    }

    /// Returns a number if the key is there and valid.
    fn optional_number(
        &mut self,
        section: &'static str,
        key: &'static str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Option<u64> {
        let mut number = 0;
        self.number(section, key, range, &mut number);
        (number > 0).then_some(number)
    }

    fn address(&mut self, section: &'static str, key: &'static str, value: &mut String) {
        if let Some(address) = self.optional::<SocketAddr>(section, key, "IP:PORT") {
            *value = address.to_string();
        }
    }

    /// Reports keys of the file that no setting reads.
    fn report_unknown_keys(&mut self) {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if self.accepted_keys.contains(&(section, key)) {
                    continue;
                }
                let known: Vec<&str> = self
                    .accepted_keys
                    .iter()
                    .filter(|(known_section, _)| *known_section == section)
                    .map(|(_, known_key)| *known_key)
                    .collect();
                let message = match known.is_empty() {
                    true => "is in an unknown section".to_owned(),
                    false => format!(
                        "is not a known key; the keys of this section are {}",
                        known.join(", ")
                    ),
                };
                let (section, key) = (section.to_owned(), key.to_owned());
                self.invalid_settings.push(InvalidSetting {
                    file: self.file.to_owned(),
                    section,
                    key,
                    message,
                });
            }
        }
    }

    fn report_invalid(&mut self, section: &str, key: &str, message: String) {
        let (section, key) = (section.to_owned(), key.to_owned());
        self.invalid_settings.push(InvalidSetting {
            file: self.file.to_owned(),
            section,
            key,
            message,
        });
    }
}
