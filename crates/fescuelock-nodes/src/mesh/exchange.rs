//! Message exchange on one link: heartbeats, membership, rules and bill replicas.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_store::bills::Bill;
use rand::RngExt;
use slog::debug;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::{Inner, LocalNode, RULES_REQUEST_DELAY_MS};
use crate::link::Link;
use crate::members::Member;
use crate::messages::{BillReplica, Heartbeat, Message};
use crate::state::rendezvous_hash;
use crate::{Error, Result};

impl Inner {
    /// Sends and receives messages until the link fails or is closed. Returns the reason.
    pub(super) async fn exchange(
        &self,
        link: &mut Link,
        mut outgoing: mpsc::Receiver<Message>,
        node: &Arc<impl LocalNode>,
    ) -> Error {
        let mut heartbeats = interval(Duration::from_millis(self.options.heartbeat_ms));
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let silence = Duration::from_millis(self.options.silence_ms);
        let mut last_received = Instant::now();
        loop {
            let step = tokio::select! {
                biased;
                message = outgoing.recv() => match message {
                    Some(message) => self.send(link, message).await,
                    // The link's handle was removed: a newer link replaced it, or it was closed.
                    None => Err(Error::Closed),
                },
                message = link.receive() => match message {
                    Ok(message) => {
                        last_received = Instant::now();
                        self.receive(link, message, node).await
                    }
                    Err(error) => Err(error),
                },
                _ = heartbeats.tick() => match last_received.elapsed() > silence {
                    true => Err(Error::TimedOut { limit_ms: self.options.silence_ms }),
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
        let size = sent.map_err(|_| Error::TimedOut { limit_ms })??;
        self.bytes_sent.fetch_add(u64::try_from(size).unwrap_or(u64::MAX), Ordering::Relaxed);
        Ok(())
    }

    /// Handles one message.
    async fn receive(
        &self,
        link: &mut Link,
        message: Message,
        node: &Arc<impl LocalNode>,
    ) -> Result<()> {
        let peer = link.node.clone();
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(link, heartbeat, node).await,

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

            Message::Replicate(number, bills) => {
                let is_replicated = self.state().replicas.store(&peer, bills);
                match is_replicated {
                    true => self.send(link, Message::ReplicateAck(number)).await,
                    false => Ok(()),
                }
            }

            Message::ReplicateAck(number) => {
                if let Some(ack_sender) = self.state().pending_acks.remove(&number) {
                    // The receiver is gone if the replication has timed out.
                    let _ = ack_sender.send(());
                }
                Ok(())
            }

            Message::Release(ids) => {
                self.state().replicas.release(&peer, &ids);
                Ok(())
            }
        }
    }

    /// Handles a heartbeat: may send the membership table if the tables differ, and may request the
    /// rules if the peer has newer ones.
    async fn handle_heartbeat(
        &self,
        link: &mut Link,
        heartbeat: Heartbeat,
        node: &Arc<impl LocalNode>,
    ) -> Result<()> {
        let (table, known_generations) = {
            let mut state = self.state();
            state.generations.insert(link.node.clone(), heartbeat.generation);
            let differs = state.members.digest() != heartbeat.members_digest;
            // Tables differ briefly while updates propagate, so only a random quarter of the
            // heartbeats triggers a synchronisation.
            let sends_table = differs && state.rng.random_ratio(1, 4);
            let table: Option<Vec<Member>> =
                sends_table.then(|| state.members.iter().cloned().collect());
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
        // The platform is the primary source: it notifies every node of each change.
        let is_late = behind >= Duration::from_millis(RULES_REQUEST_DELAY_MS);
        // A node without rules waits until at least two nodes have reported a generation.
        let is_trusted = own > 0 || known_generations >= 2;
        match is_trusted && (is_late || !node.is_platform_reachable()) {
            true => self.send(link, Message::RulesRequest(own)).await,
            false => Ok(()),
        }
    }

    /// Replicates a bill to another node. Returns whether the node acknowledged it in time.
    pub(super) async fn replicate(&self, bill: &Bill) -> bool {
        let (ack_sender, ack) = oneshot::channel();
        let number = {
            let mut state = self.state();
            // A replica in another availability zone survives the loss of this node's zone.
            let own_zone = &self.options.zone;
            let is_in_other_zone =
                |node: &str| state.members.get(node).is_some_and(|member| member.zone != *own_zone);
            let replica_node = state.links.iter().max_by_key(|(node, _)| {
                (is_in_other_zone(node.as_str()), rendezvous_hash(&self.options.node, node))
            });
            let Some((replica_node, handle)) =
                replica_node.map(|(node, handle)| (node.clone(), handle.clone()))
            else {
                return false;
            };
            state.last_number += 1;
            let number = state.last_number;
            let message = Message::Replicate(number, vec![BillReplica::from(bill)]);
            if handle.queue.try_send(message).is_err() {
                return false;
            }
            state.pending_acks.insert(number, ack_sender);
            state.replica_nodes.insert(bill.request.into(), replica_node);
            number
        };
        let limit = Duration::from_millis(self.options.hold_timeout_ms);
        let is_replicated = timeout(limit, ack).await.is_ok_and(|ack| ack.is_ok());
        if !is_replicated {
            self.state().pending_acks.remove(&number);
        }
        is_replicated
    }

    pub(super) fn record_refused(&self, error: &Error) {
        self.counters.count(Counter::LinksRefused);
        debug!(self.logger, "refused an incoming link"; "error" => error.to_string());
    }
}
