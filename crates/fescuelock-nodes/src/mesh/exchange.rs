//! What goes over one link: heartbeats, the table of nodes, rules and bills.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_store::bills::Bill;
use rand::RngExt;
use slog::debug;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::{Inner, LocalNode, RULES_DELAY_MS};
use crate::link::Link;
use crate::members::Member;
use crate::messages::{Heartbeat, HeldBill, Message};
use crate::state::rank;
use crate::{Error, Result};

impl Inner {
    /// Sends and receives until the link fails, and returns why.
    pub(super) async fn exchange(
        &self,
        link: &mut Link,
        mut outgoing: mpsc::Receiver<Message>,
        node: &Arc<impl LocalNode>,
    ) -> Error {
        let mut beats = interval(Duration::from_millis(self.options.heartbeat_ms));
        beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let silence = Duration::from_millis(self.options.silence_ms);
        let mut heard = Instant::now();
        loop {
            let step = tokio::select! {
                biased;
                message = outgoing.recv() => match message {
                    Some(message) => self.send(link, message).await,
                    // The handle was replaced by that of a newer link.
                    None => Err(Error::Closed),
                },
                message = link.receive() => match message {
                    Ok(message) => {
                        heard = Instant::now();
                        self.receive(link, message, node).await
                    }
                    Err(error) => Err(error),
                },
                _ = beats.tick() => match heard.elapsed() > silence {
                    true => Err(Error::Silent { limit_ms: self.options.silence_ms }),
                    false => {
                        let heartbeat = self.state().heartbeat(node.generation());
                        self.send(link, Message::Heartbeat(heartbeat)).await
                    }
                },
            };
            if let Err(error) = step {
                return error;
            }
        }
    }

    async fn send(&self, link: &mut Link, message: Message) -> Result<()> {
        let limit_ms = self.options.silence_ms;
        let sent = timeout(Duration::from_millis(limit_ms), link.send(&message)).await;
        let size = sent.map_err(|_| Error::Silent { limit_ms })??;
        self.bytes_sent.fetch_add(u64::try_from(size).unwrap_or(u64::MAX), Ordering::Relaxed);
        Ok(())
    }

    /// Acts on one message.
    async fn receive(
        &self,
        link: &mut Link,
        message: Message,
        node: &Arc<impl LocalNode>,
    ) -> Result<()> {
        let peer = link.node.clone();
        match message {
            Message::Heartbeat(heartbeat) => self.compare(link, heartbeat, node).await,

            Message::Members(entries) => {
                self.state().merge(entries, Some(&peer), Instant::now());
                Ok(())
            }

            Message::RulesRequest(above) => match node.rules() {
                Some((generation, text)) if generation > above => {
                    self.send(link, Message::Rules(generation, text)).await
                }
                _ => Ok(()),
            },

            Message::Rules(generation, text) => {
                node.offer_rules(generation, &text);
                Ok(())
            }

            Message::Hold(number, bills) => {
                let is_held = self.state().held.hold(&peer, bills);
                match is_held {
                    true => self.send(link, Message::Held(number)).await,
                    false => Ok(()),
                }
            }

            Message::Held(number) => {
                if let Some(waiting) = self.state().waiting.remove(&number) {
                    // The asker may have gone on without the answer.
                    let _ = waiting.send(());
                }
                Ok(())
            }

            Message::Release(ids) => {
                self.state().held.release(&peer, &ids);
                Ok(())
            }
        }
    }

    /// Asks for what the other node knows and this one does not.
    async fn compare(
        &self,
        link: &mut Link,
        heartbeat: Heartbeat,
        node: &Arc<impl LocalNode>,
    ) -> Result<()> {
        let (table, agreed) = {
            let mut state = self.state();
            state.generations.insert(link.node.clone(), heartbeat.generation);
            let differs = state.members.digest() != heartbeat.members_digest;
            // Tables differ for moments while news travel; only a part of the beats repairs them.
            let repair = differs && state.rng.random_ratio(1, 4);
            let table: Option<Vec<Member>> =
                repair.then(|| state.members.iter().cloned().collect());
            (table, state.generations.len())
        };
        if let Some(table) = table {
            self.send(link, Message::Members(table)).await?;
        }
        let own = node.generation();
        if heartbeat.generation <= own {
            self.state().behind_since = None;
            return Ok(());
        }
        let behind = self.state().behind_since.get_or_insert_with(Instant::now).elapsed();
        // The platform is the first source: it sends each change to every node already.
        let is_late = behind >= Duration::from_millis(RULES_DELAY_MS);
        // A node without rules waits until several others have told theirs.
        let is_trusted = own > 0 || agreed >= 2;
        match is_trusted && (is_late || !node.is_platform_reachable()) {
            true => self.send(link, Message::RulesRequest(own)).await,
            false => Ok(()),
        }
    }

    /// Has another node hold a bill. Returns whether one does.
    pub(super) async fn hold(&self, bill: &Bill) -> bool {
        let (waiting, held) = oneshot::channel();
        let number = {
            let mut state = self.state();
            // A node in another zone is not lost with this one's zone.
            let own_zone = &self.options.zone;
            let is_far =
                |node: &str| state.members.get(node).is_some_and(|member| member.zone != *own_zone);
            let holder = state
                .links
                .iter()
                .max_by_key(|(node, _)| (is_far(node.as_str()), rank(&self.options.node, node)));
            let Some((holder, handle)) =
                holder.map(|(node, handle)| (node.clone(), handle.clone()))
            else {
                return false;
            };
            state.next_number += 1;
            let number = state.next_number;
            let message = Message::Hold(number, vec![HeldBill::from(bill)]);
            if handle.queue.try_send(message).is_err() {
                return false;
            }
            state.waiting.insert(number, waiting);
            state.holders.insert(bill.request.into(), holder);
            number
        };
        let limit = Duration::from_millis(self.options.hold_timeout_ms);
        let is_held = timeout(limit, held).await.is_ok_and(|held| held.is_ok());
        if !is_held {
            self.state().waiting.remove(&number);
        }
        is_held
    }

    pub(super) fn note_refused(&self, error: &Error) {
        self.counters.count(Counter::LinksRefused);
        debug!(self.logger, "link refused"; "error" => error.to_string());
    }
}
