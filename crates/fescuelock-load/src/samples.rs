//! Sample rules of small deployments for experiments and tests.

use std::fmt::Write as _;

use fescuelock_core::ids::KeyHash;

/// Cheap version of the sample model.
pub const CHEAP_VERSION: &str = "draft/small-1";
/// Version of the sample model with higher quality and cost.
pub const GOOD_VERSION: &str = "draft/large-1";
/// Version that can be rolled out as the successor of the cheap one.
pub const NEXT_VERSION: &str = "draft/small-2";
/// Name of the plain service.
pub const SERVICE: &str = "booking";
/// Team whose quality need the cheap version meets.
pub const CHEAP_TEAM: &str = "summaries";
/// Team whose quality need only the version with higher quality meets.
pub const GOOD_TEAM: &str = "estimators";
/// Team that is allowed to use the cheap version only.
pub const CHEAP_ONLY_TEAM: &str = "trials";

/// `SampleOptions` sets the size and further properties of a sample deployment.
#[derive(Debug, Clone)]
pub struct SampleOptions {
    /// Number of availability zones. Defaults to 2.
    pub zones: usize,
    /// Number of engines of each kind, cheap and good. Defaults to 2.
    pub engines: usize,
    /// Number of VMs of the plain service. Defaults to 2.
    pub service_vms: usize,
    /// Number of further engines that the rules declare but that do not exist. Defaults to 0.
    pub idle_engines: usize,
    /// Port below those of the upstreams, which are numbered upwards. Defaults to 19,000.
    pub base_port: u16,
    /// Protocol of the engines. Defaults to `http1`.
    pub protocol: String,
    /// Text of further rules.
    pub extra: String,
}

impl Default for SampleOptions {
    fn default() -> Self {
        SampleOptions {
            zones: 2,
            engines: 2,
            service_vms: 2,
            idle_engines: 0,
            base_port: 19_000,
            protocol: "http1".to_owned(),
            extra: String::new(),
        }
    }
}

/// Returns the API key of a sample team, sent as a bearer token.
pub fn api_key_of(team: &str) -> String {
    format!("sample-{team}")
}

/// Returns the rules text of a sample deployment.
pub fn rules(options: &SampleOptions) -> String {
    let mut text = String::new();
    let mut add = |rule: String| {
        let _ = writeln!(text, "{rule}  # asked by the load tool: sample");
    };
    for zone in 0..options.zones {
        add(format!("zone zone-{zone} region=region-0"));
    }
    add("model draft".to_owned());
    for (version, input, output, quality) in [
        (CHEAP_VERSION, 60, 240, 0.85),
        (NEXT_VERSION, 50, 200, 0.86),
        (GOOD_VERSION, 1_500, 6_000, 0.97),
    ] {
        add(format!("version {version} input_cost={input} output_cost={output} quality={quality}"));
    }
    add(format!("rollout {NEXT_VERSION} from={CHEAP_VERSION} percent=0"));
    add(format!("service {SERVICE}"));
    add(format!("call {SERVICE} POST /orders repeat=no"));
    add(format!("call {SERVICE} PUT /notes repeat=yes"));
    add(format!("call {SERVICE} GET / repeat=yes"));
    let mut port = options.base_port;
    let mut next_address = || {
        port += 1;
        format!("127.0.0.1:{port}")
    };
    for engine in 0..options.engines {
        let zone = engine % options.zones;
        let protocol = &options.protocol;
        for (kind, serves) in [
            ("cheap", format!("{CHEAP_VERSION},{NEXT_VERSION}")),
            ("good", GOOD_VERSION.to_owned()),
        ] {
            add(format!(
                "upstream {kind}-{engine} zone=zone-{zone} address={} serves={serves} \
                 protocol={protocol} concurrency=1000",
                next_address()
            ));
        }
    }
    for engine in 0..options.idle_engines {
        let zone = engine % options.zones;
        let (high, low) = (engine / 250, engine % 250 + 1);
        add(format!(
            "upstream idle-{engine} zone=zone-{zone} address=127.1.{high}.{low}:9000 \
             serves={CHEAP_VERSION},{NEXT_VERSION} concurrency=32 cold_bound=2 fencing=checked"
        ));
    }
    for vm in 0..options.service_vms {
        let zone = vm % options.zones;
        add(format!(
            "upstream booking-{vm} zone=zone-{zone} address={} serves=service:{SERVICE}",
            next_address()
        ));
    }
    for (team, quality, uses) in [
        (CHEAP_TEAM, 0.8, "draft service:booking"),
        (GOOD_TEAM, 0.95, "draft service:booking"),
        (CHEAP_ONLY_TEAM, 0.8, CHEAP_VERSION),
    ] {
        add(format!("team {team} quality={quality}"));
        add(format!("key {team} {}", KeyHash::of(&api_key_of(team))));
        add(format!("allow {team} {uses}"));
    }
    text.push_str(&options.extra);
    text
}

/// Returns a rules text with the percentage of requests that the next version gets.
pub fn with_rollout(text: &str, percent: u32) -> String {
    let share = rule(&format!("rollout {NEXT_VERSION} from={CHEAP_VERSION} percent={percent}"));
    text.lines()
        .map(|line| match line.starts_with("rollout ") {
            true => share.clone(),
            false => format!("{line}\n"),
        })
        .collect()
}

/// Returns a rule as a line with a comment, for [`SampleOptions::extra`] or an edit.
pub fn rule(text: &str) -> String {
    format!("{text}  # asked by the load tool: experiment\n")
}
