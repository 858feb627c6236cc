//! Compiles parsed rules into a configuration snapshot and checks that they are consistent.

use super::line::{Problems, RuleLine};
use super::parse::{ParsedRule, Rule, UpstreamRule};
use super::snapshot::{
    CallRule, ConfigSnapshot, Model, Rollout, Service, Team, Upstream, Version, Zone,
};
use crate::ids::{Generation, UpstreamKey, VersionKey};
use crate::placement::Workload;
use crate::units::Price;

/// Compiles rules into a snapshot. Rules may refer to names that are declared on later lines.
pub fn compile(
    entries: &[ParsedRule],
    generation: Generation,
    problems: &mut Problems,
) -> ConfigSnapshot {
    let mut compiler = Compiler {
        snapshot: ConfigSnapshot { generation, ..ConfigSnapshot::default() },
        problems,
        entries,
    };
    // Each pass resolves names that the earlier passes declared.
    compiler.run_pass(Compiler::declare_names);
    compiler.run_pass(Compiler::declare_version);
    compiler.run_pass(Compiler::declare_upstream);
    compiler.run_pass(Compiler::apply_references);
    compiler.add_warnings();
    compiler.sort_call_rules();
    compiler.snapshot
}

/// `Compiler` builds a snapshot in several passes over the rules.
struct Compiler<'a> {
    snapshot: ConfigSnapshot,
    problems: &'a mut Problems,
    entries: &'a [ParsedRule],
}

impl Compiler<'_> {
    fn run_pass(&mut self, visit: fn(&mut Self, &RuleLine, &Rule)) {
        for entry in self.entries {
            visit(self, &entry.line, &entry.rule);
        }
    }

    /// Declares zones, models, services and teams.
    fn declare_names(&mut self, line: &RuleLine, rule: &Rule) {
        let is_new = match rule {
            Rule::Zone { name, region } => {
                let zone =
                    Zone { name: name.clone(), region: region.clone(), is_out_of_service: false };
                self.snapshot.zones.insert(name, zone).is_ok()
            }

            Rule::Model { name } => {
                self.snapshot.models.insert(name, Model { name: name.clone() }).is_ok()
            }

            Rule::Service { name } => {
                let service =
                    Service { name: name.clone(), calls: Vec::new(), upstreams: Vec::new() };
                self.snapshot.services.insert(name, service).is_ok()
            }

            Rule::Team { name, quality_min, priority } => {
                let team = Team {
                    name: name.clone(),
                    quality_min: *quality_min,
                    priority: *priority,
                    versions: Default::default(),
                    services: Default::default(),
                };
                self.snapshot.teams.insert(name, team).is_ok()
            }

            _ => true,
        };
        if !is_new {
            self.report_error(
                line,
                &line.words[1],
                "is declared twice; remove one of the two lines",
            );
        }
    }

    /// Declares versions, which refer to models.
    fn declare_version(&mut self, line: &RuleLine, rule: &Rule) {
        let Rule::Version { name, input_cost, output_cost, quality } = rule else {
            return;
        };
        let model_name = name.split_once('/').map_or("", |(model, _)| model);
        let Some(model) = self.snapshot.models.find(model_name) else {
            return self.report_error(
                line,
                name,
                "must have the form MODEL/VERSION with a declared model",
            );
        };
        let price =
            Price { input_micros_per_ktoken: *input_cost, output_micros_per_ktoken: *output_cost };
        let version = Version {
            name: name.clone(),
            model,
            price,
            quality: *quality,
            is_withdrawn: false,
            rollout: None,
            upstreams: Vec::new(),
        };
        if self.snapshot.versions.insert(name, version).is_err() {
            self.report_error(line, name, "is declared twice; remove one of the two lines");
        }
    }

    /// Declares upstreams, which refer to zones, versions and services.
    fn declare_upstream(&mut self, line: &RuleLine, rule: &Rule) {
        let Rule::Upstream(rule) = rule else {
            return;
        };
        let Some(zone) = self.snapshot.zones.find(&rule.zone) else {
            return self.report_error(
                line,
                &format!("zone={}", rule.zone),
                "is not a declared zone",
            );
        };
        let upstream = Upstream {
            name: rule.name.clone(),
            zone,
            address: rule.address.to_string(),
            protocol: rule.protocol,
            concurrency: rule.concurrency,
            cold_start_concurrency: rule.cold_start_concurrency,
            fencing: rule.fencing,
            ids: rule.ids,
            is_draining: false,
        };
        match self.snapshot.upstreams.insert(&rule.name, upstream) {
            Ok(key) => self.link_upstream(line, rule, key),

            Err(_) => {
                self.report_error(
                    line,
                    &rule.name,
                    "is declared twice; remove one of the two lines",
                );
            }
        }
    }

    /// Adds an upstream to the versions and services that it serves.
    fn link_upstream(&mut self, line: &RuleLine, rule: &UpstreamRule, key: UpstreamKey) {
        for name in &rule.serves {
            match self.snapshot.find_workload(name) {
                Some(Workload::Version(version)) => {
                    self.snapshot.versions.at_mut(version).upstreams.push(key);
                }

                Some(Workload::Service(service)) => {
                    self.snapshot.services.at_mut(service).upstreams.push(key);
                }

                None => {
                    self.report_error(line, name, "is not a declared MODEL/VERSION or service:NAME")
                }
            }
        }
    }

    /// Applies the rules that refer to declared names, and the global settings.
    fn apply_references(&mut self, line: &RuleLine, rule: &Rule) {
        match rule {
            Rule::Call { service, method, path_prefix, is_retryable } => {
                let call = CallRule {
                    method: method.clone(),
                    path_prefix: path_prefix.clone(),
                    is_retryable: *is_retryable,
                };
                match self.snapshot.services.find(service) {
                    Some(key) => self.snapshot.services.at_mut(key).calls.push(call),
                    None => self.report_error(line, service, "is not a declared service"),
                }
            }

            Rule::Key { team, hash } => match self.snapshot.teams.find(team) {
                None => self.report_error(line, team, "is not a declared team"),

                Some(key) if self.snapshot.keys.insert(*hash, key).is_some() => {
                    self.report_error(
                        line,
                        &line.words[2],
                        "is already assigned by another `key` rule",
                    );
                }

                Some(_) => {}
            },

            Rule::Allow { team, allowed_names } => self.apply_allow(line, team, allowed_names),

            Rule::Withdraw { version } => {
                if let Some(key) = self.find_version(line, version) {
                    self.snapshot.versions.at_mut(key).is_withdrawn = true;
                }
            }

            Rule::Rollout { version, from, percent } => {
                let keys = (self.find_version(line, version), self.find_version(line, from));
                match keys {
                    (Some(key), Some(from)) if key == from => {
                        self.report_error(line, version, "cannot be rolled out from itself");
                    }

                    (Some(key), Some(from)) => {
                        let rollout = Rollout { from, percent: *percent };
                        self.snapshot.versions.at_mut(key).rollout = Some(rollout);
                    }

                    _ => {}
                }
            }

            Rule::ZoneOut { zone } => match self.snapshot.zones.find(zone) {
                Some(key) => self.snapshot.zones.at_mut(key).is_out_of_service = true,
                None => self.report_error(line, zone, "is not a declared zone"),
            },

            Rule::Drain { upstream } => match self.snapshot.upstreams.find(upstream) {
                Some(key) => self.snapshot.upstreams.at_mut(key).is_draining = true,
                None => self.report_error(line, upstream, "is not a declared upstream"),
            },

            Rule::Value { priority, factor } => {
                let factors = &mut self.snapshot.scoring_weights.value_factor_by_priority;
                if factors.insert(*priority, *factor).is_some() {
                    self.report_error(
                        line,
                        &line.words[1],
                        "already has a factor in another `value` rule",
                    );
                }
            }

            Rule::PoorResponseLoss { share } => {
                self.snapshot.scoring_weights.poor_response_loss_share = *share
            }

            Rule::CrossZoneCost { share } => {
                self.snapshot.scoring_weights.cross_zone_cost_share = *share
            }

            _ => {}
        }
    }

    fn apply_allow(&mut self, line: &RuleLine, team: &str, allowed_names: &[String]) {
        let Some(team) = self.snapshot.teams.find(team) else {
            return self.report_error(line, team, "is not a declared team");
        };
        if allowed_names.is_empty() {
            self.report_error(line, "allow", "is missing a model, version or service");
        }
        for name in allowed_names {
            let model = self.snapshot.models.find(name);
            let versions: Vec<VersionKey> = match (self.snapshot.find_workload(name), model) {
                (Some(Workload::Service(service)), _) => {
                    self.snapshot.teams.at_mut(team).services.insert(service);
                    continue;
                }

                (Some(Workload::Version(version)), _) => vec![version],

                (None, Some(model)) => self
                    .snapshot
                    .versions
                    .iter()
                    .filter(|(_, version)| version.model == model)
                    .map(|(key, _)| key)
                    .collect(),

                (None, None) => {
                    self.report_error(
                        line,
                        name,
                        "is not a declared MODEL, MODEL/VERSION or service:NAME",
                    );
                    continue;
                }
            };
            self.snapshot.teams.at_mut(team).versions.extend(versions);
        }
    }

    /// Adds warnings about rules that are valid but probably not what was intended.
    fn add_warnings(&mut self) {
        for entry in self.entries {
            let message = match &entry.rule {
                Rule::Team { name, .. } => self.team_warning(name),

                Rule::Version { name, .. } => match self.snapshot.versions.find(name) {
                    Some(key) if self.snapshot.versions.at(key).upstreams.is_empty() => {
                        Some("is served by no upstream".to_owned())
                    }

                    _ => None,
                },

                Rule::Service { name } => match self.snapshot.services.find(name) {
                    Some(key) if self.snapshot.services.at(key).calls.is_empty() => {
                        Some("has no `call` rule, so all calls of it are refused".to_owned())
                    }

                    Some(key) if self.snapshot.services.at(key).upstreams.is_empty() => {
                        Some("is served by no upstream".to_owned())
                    }

                    _ => None,
                },

                _ => None,
            };
            if let Some(message) = message {
                let word = entry.line.words.get(1).map_or("", String::as_str);
                self.problems.push(entry.line.warning(word, message));
            }
        }
    }

    /// Returns the reason why requests of a team cannot be served, if there is one.
    fn team_warning(&self, name: &str) -> Option<String> {
        let key = self.snapshot.teams.find(name)?;
        let team = self.snapshot.teams.at(key);
        let has_key = self.snapshot.keys.values().any(|&owner| owner == key);
        let in_service: Vec<VersionKey> =
            team.versions.iter().copied().filter(|&key| self.snapshot.is_in_service(key)).collect();
        let meets_minimum = |&key: &VersionKey| {
            let version = self.snapshot.versions.at(key);
            version.quality >= team.quality_min && version.rollout.is_none()
        };
        if !has_key {
            Some("has no `key` rule, so no caller can authenticate as this team".to_owned())
        } else if team.versions.is_empty() && team.services.is_empty() {
            Some("is not allowed to use anything; add an `allow` rule".to_owned())
        } else if !team.versions.is_empty() && in_service.is_empty() {
            Some("has no version in service among its allowed versions".to_owned())
        } else if !in_service.is_empty() && !in_service.iter().any(meets_minimum) {
            Some(format!(
                "has no version in service with a quality of at least {}",
                team.quality_min
            ))
        } else {
            None
        }
    }

    /// Sorts the call rules by descending prefix length, so that the first match is the longest.
    fn sort_call_rules(&mut self) {
        let keys: Vec<_> = self.snapshot.services.iter().map(|(key, _)| key).collect();
        for key in keys {
            let calls = &mut self.snapshot.services.at_mut(key).calls;
            calls.sort_by_key(|call| std::cmp::Reverse(call.path_prefix.len()));
        }
    }

    fn find_version(&mut self, line: &RuleLine, name: &str) -> Option<VersionKey> {
        let found = self.snapshot.versions.find(name);
        if found.is_none() {
            self.report_error(line, name, "is not a declared version");
        }
        found
    }

    fn report_error(&mut self, line: &RuleLine, word: &str, message: &str) {
        self.problems.push(line.error(word, message));
    }
}
