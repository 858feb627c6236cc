//! Parses the lines of a rules file into typed rules.

use std::net::SocketAddr;

use super::line::{Problems, RuleArgs, RuleLine};
use super::snapshot::{FencingSupport, Priority, Protocol, ResponseIdSource};
use crate::ids::KeyHash;

/// `RuleForm` documents the syntax of one kind of rule.
#[derive(Debug, Clone, Copy)]
pub struct RuleForm {
    /// First word of the rule.
    pub keyword: &'static str,
    /// The accepted syntax.
    pub usage: &'static str,
    /// What the rule does.
    pub description: &'static str,
}

/// The syntax of every kind of rule.
pub const RULE_FORMS: &[RuleForm] = &[
    RuleForm {
        keyword: "zone",
        usage: "zone NAME region=REGION",
        description: "Declares an availability zone.",
    },
    RuleForm { keyword: "model", usage: "model NAME", description: "Declares a model." },
    RuleForm {
        keyword: "version",
        usage: "version MODEL/VERSION input_cost=N output_cost=N quality=0..1",
        description: "Declares a version with its price in micro-units per 1,000 tokens.",
    },
    RuleForm {
        keyword: "service",
        usage: "service NAME",
        description: "Declares a plain service, called under `/services/NAME/`.",
    },
    RuleForm {
        keyword: "call",
        usage: "call SERVICE METHOD PATH_PREFIX repeat=yes|no",
        description: "Allows calls of a service and sets whether they may be retried.",
    },
    RuleForm {
        keyword: "upstream",
        usage: "upstream NAME zone=ZONE address=IP:PORT serves=MODEL/VERSION|service:NAME[,...] \
                [protocol=http1|http2] [concurrency=N] [cold_bound=N] \
                [fencing=checked|ignored] [ids=echoed|own]",
        description: "Declares a model engine or a VM of a plain service.",
    },
    RuleForm {
        keyword: "team",
        usage: "team NAME quality=0..1 [priority=low|normal|high|critical]",
        description: "Declares a team with its minimum quality and priority.",
    },
    RuleForm {
        keyword: "key",
        usage: "key TEAM sha256:HEX",
        description: "Assigns a bearer key, given as its hash, to a team. A team may have several.",
    },
    RuleForm {
        keyword: "allow",
        usage: "allow TEAM MODEL|MODEL/VERSION|service:NAME [...]",
        description: "Allows a team to use models, versions or services.",
    },
    RuleForm {
        keyword: "withdraw",
        usage: "withdraw MODEL/VERSION",
        description: "Stops all new requests to a version.",
    },
    RuleForm {
        keyword: "rollout",
        usage: "rollout MODEL/VERSION from=MODEL/VERSION percent=0..100",
        description: "Routes a percentage of the requests of a version to its new version.",
    },
    RuleForm {
        keyword: "zone-out",
        usage: "zone-out ZONE",
        description: "Stops all new requests to an availability zone.",
    },
    RuleForm {
        keyword: "drain",
        usage: "drain UPSTREAM",
        description: "Stops all new requests to an upstream.",
    },
    RuleForm {
        keyword: "value",
        usage: "value priority=N factor=0..100",
        description: "Scales the value of requests of one priority in escalation decisions.",
    },
    RuleForm {
        keyword: "quality",
        usage: "quality poor_loss=0..1",
        description: "Sets the share of a request's value that is lost by a poor response.",
    },
    RuleForm {
        keyword: "remote",
        usage: "remote share=0..1",
        description: "Sets the cost of upstreams in other zones, as a share of the request value.",
    },
];

/// Concurrent requests to an upstream whose rule sets no `concurrency`.
const CONCURRENCY_DEFAULT: u32 = 32;
/// Concurrent requests to an upstream during its cold start, if its rule sets no `cold_bound`.
const COLD_START_CONCURRENCY_DEFAULT: u32 = 2;
/// Accepted factors of the value of a priority.
const VALUE_FACTOR_RANGE: (f64, f64) = (0.0, 100.0);
/// Accepted fractions, such as a quality, which is the expected share of good responses.
const FRACTION_RANGE: (f64, f64) = (0.0, 1.0);
/// Accepted prices. A higher price is probably given in the wrong unit.
const PRICE_RANGE: (f64, f64) = (0.0, 1e12);

/// `YesNo` is a boolean that is written as `yes` or `no`.
struct YesNo(bool);

impl std::str::FromStr for YesNo {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "yes" => Ok(YesNo(true)),
            "no" => Ok(YesNo(false)),
            _ => Err(()),
        }
    }
}

/// `Rule` is a parsed rule whose names are not yet resolved.
#[derive(Debug, Clone)]
pub enum Rule {
    /// Declares a zone.
    Zone { name: String, region: String },
    /// Declares a model.
    Model { name: String },
    /// Declares a version.
    Version { name: String, input_cost: u64, output_cost: u64, quality: f64 },
    /// Declares a service.
    Service { name: String },
    /// Allows calls of a service and sets whether they may be retried.
    Call { service: String, method: String, path_prefix: String, is_retryable: bool },
    /// Declares an upstream.
    Upstream(UpstreamRule),
    /// Declares a team.
    Team { name: String, quality_min: f64, priority: Priority },
    /// Assigns a bearer key to a team.
    Key { team: String, hash: KeyHash },
    /// Allows a team to use models, versions or services.
    Allow { team: String, allowed_names: Vec<String> },
    /// Withdraws a version.
    Withdraw { version: String },
    /// Routes a percentage of the requests of one version to another.
    Rollout { version: String, from: String, percent: f64 },
    /// Takes a zone out of service.
    ZoneOut { zone: String },
    /// Drains an upstream.
    Drain { upstream: String },
    /// Scales the value of requests of one priority.
    Value { priority: u32, factor: f64 },
    /// Sets the share of the value that a poor response loses.
    PoorResponseLoss { share: f64 },
    /// Sets the cost of upstreams in other zones.
    CrossZoneCost { share: f64 },
}

/// `UpstreamRule` is a parsed `upstream` rule.
#[derive(Debug, Clone)]
pub struct UpstreamRule {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    pub serves: Vec<String>,
    pub protocol: Protocol,
    pub concurrency: u32,
    pub cold_start_concurrency: u32,
    pub fencing: FencingSupport,
    pub ids: ResponseIdSource,
}

/// `ParsedRule` is a rule together with its line in the file.
#[derive(Debug, Clone)]
pub struct ParsedRule {
    pub line: RuleLine,
    pub rule: Rule,
}

/// Parses all lines of a rules file.
pub fn parse(text: &str) -> (Vec<ParsedRule>, Problems) {
    let mut entries = Vec::new();
    let mut problems = Problems::new();
    for (index, text) in text.lines().enumerate() {
        let line = match RuleLine::split(index + 1, text) {
            None => continue,

            Some(Err(problem)) => {
                problems.push(problem);
                continue;
            }

            Some(Ok(line)) => line,
        };
        if let Some(rule) = parse_rule(&line, &mut problems) {
            entries.push(ParsedRule { line, rule });
        }
    }
    (entries, problems)
}

/// Parses the rule of one line.
fn parse_rule(line: &RuleLine, problems: &mut Problems) -> Option<Rule> {
    let keyword = line.words.first().map_or("", String::as_str);
    let Some(form) = RULE_FORMS.iter().find(|form| form.keyword == keyword) else {
        let keywords: Vec<&str> = RULE_FORMS.iter().map(|form| form.keyword).collect();
        problems.push(
            line.error(keyword, format!("is not a known rule; use one of {}", keywords.join(", "))),
        );
        return None;
    };
    let mut args = RuleArgs::new(line, problems);
    let rule = match keyword {
        "zone" => parse_zone(&mut args),
        "model" => Some(Rule::Model { name: args.positional("a name") }),
        "version" => parse_version(&mut args),
        "service" => Some(Rule::Service { name: args.positional("a name") }),
        "call" => parse_call(&mut args),
        "upstream" => parse_upstream(&mut args),
        "team" => parse_team(&mut args),
        "key" => parse_key(&mut args),
        "allow" => {
            Some(Rule::Allow { team: args.positional("a team"), allowed_names: args.rest() })
        }
        "withdraw" => Some(Rule::Withdraw { version: args.positional("a version") }),
        "rollout" => parse_rollout(&mut args),
        "zone-out" => Some(Rule::ZoneOut { zone: args.positional("a zone") }),
        "value" => parse_value(&mut args),
        "quality" => {
            let share = args.number("poor_loss", "a number from 0 to 1", FRACTION_RANGE);
            share.map(|share| Rule::PoorResponseLoss { share })
        }
        "remote" => {
            let share = args.number("share", "a number from 0 to 1", FRACTION_RANGE);
            share.map(|share| Rule::CrossZoneCost { share })
        }
        "drain" => Some(Rule::Drain { upstream: args.positional("an upstream") }),
        _ => None,
    };
    let rule = args.finish(form.usage, rule);
    match rule {
        None if !problems.iter().any(|problem| problem.line == line.number) => {
            problems.push(line.error(keyword, format!("must have the form `{}`", form.usage)));
            None
        }

        rule => rule,
    }
}

fn parse_zone(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let name = args.positional("a name");
    let region = args.required("region", "a region's name")?;
    Some(Rule::Zone { name, region })
}

fn parse_version(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let name = args.positional("a name of the form MODEL/VERSION");
    let input_cost =
        args.number("input_cost", "micro-units per 1,000 tokens, from 0 to 1e12", PRICE_RANGE);
    let output_cost =
        args.number("output_cost", "micro-units per 1,000 tokens, from 0 to 1e12", PRICE_RANGE);
    let quality = args.number("quality", "a number from 0 to 1", FRACTION_RANGE);
    Some(Rule::Version {
        name,
        input_cost: input_cost? as u64,
        output_cost: output_cost? as u64,
        quality: quality?,
    })
}

fn parse_call(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let service = args.positional("a service");
    let method = args.positional("an HTTP method").to_ascii_uppercase();
    let path_prefix = args.positional("a path prefix that starts with `/`");
    let is_retryable: YesNo = args.required("repeat", "yes or no")?;
    path_prefix.starts_with('/').then_some(Rule::Call {
        service,
        method,
        path_prefix,
        is_retryable: is_retryable.0,
    })
}

fn parse_upstream(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let name = args.positional("a name");
    let zone = args.required("zone", "a zone's name");
    let address = args.required("address", "IP:PORT");
    let serves: Option<String> = args.required("serves", "versions or services, split by commas");
    let protocol = args.optional("protocol", "http1 or http2").unwrap_or_default();
    let concurrency = args.optional("concurrency", "a whole number; 0 counts as 1");
    let cold_start_concurrency = args.optional("cold_bound", "a whole number; 0 counts as 1");
    let fencing = args.optional("fencing", "checked or ignored").unwrap_or_default();
    let ids = args.optional("ids", "echoed or own").unwrap_or_default();
    Some(Rule::Upstream(UpstreamRule {
        name,
        zone: zone?,
        address: address?,
        serves: serves?.split(',').map(str::to_owned).collect(),
        protocol,
        concurrency: concurrency.unwrap_or(CONCURRENCY_DEFAULT).max(1),
        cold_start_concurrency: cold_start_concurrency
            .unwrap_or(COLD_START_CONCURRENCY_DEFAULT)
            .max(1),
        fencing,
        ids,
    }))
}

fn parse_team(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let name = args.positional("a name");
    let quality_min = args.number("quality", "a number from 0 to 1", FRACTION_RANGE);
    let priority = args.optional("priority", "low, normal, high or critical").unwrap_or_default();
    Some(Rule::Team { name, quality_min: quality_min?, priority })
}

fn parse_key(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let team = args.positional("a team");
    let hash = args.positional("a key hash of the form sha256:HEX").parse().ok()?;
    Some(Rule::Key { team, hash })
}

fn parse_rollout(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let version = args.positional("a version");
    let from = args.required("from", "the version that it follows");
    let percent = args.number("percent", "a number from 0 to 100", (0.0, 100.0));
    Some(Rule::Rollout { version, from: from?, percent: percent? })
}

fn parse_value(args: &mut RuleArgs<'_>) -> Option<Rule> {
    let priority = args.required("priority", "a whole number");
    let factor = args.number("factor", "a number from 0 to 100", VALUE_FACTOR_RANGE);
    Some(Rule::Value { priority: priority?, factor: factor? })
}
