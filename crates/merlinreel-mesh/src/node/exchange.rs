//! Exchange of records with the other members: digests are compared with one member at a time, urgent records are
//! pushed.

use super::events::{Event, EventQueue};
use super::membership::Membership;
use super::transport::{MAX_MESSAGE_BYTES, Transport};
use crate::error::DropReason;
use crate::member::Member;
use crate::records::{Comparison, Digest, RecordStore, RecordsUpdate};
use crate::send_budget::Priority;
use crate::wire::{MAX_REQUESTS, Message, RecordsRequest};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of members to which an urgent record is pushed by its owner, and by each receiver to which it is new. Three
/// hops reach fifty members; even if a fifth of the datagrams is lost, hardly any member has to wait for the next
/// comparison of digests.
const FANOUT: usize = 4;

/// The parts of the node that an exchange of records reads or changes, borrowed for one step.
pub struct Exchange<'a> {
    /// Provides the members with which records are exchanged.
    pub membership: &'a Membership,
    /// The records held by this process.
    pub records: &'a mut RecordStore,
    /// Sends messages.
    pub transport: &'a mut Transport,
    /// Receives the events for the process.
    pub events: &'a mut EventQueue,
    /// Random number generator that chooses the members.
    pub random: &'a mut ChaCha8Rng,
    /// The node's monotonic time.
    pub now: Duration,
}

impl Exchange<'_> {
    /// Sends digests to one random member, which answers with updates and requests.
    pub fn send_digests_to_one_member(&mut self) {
        let others: Vec<SocketAddrV4> = self.membership.addresses().collect();
        if others.is_empty() {
            return;
        }
        let to = others[self.random.random_range(0..others.len())];
        let digests = self.records.digests(self.now, MAX_MESSAGE_BYTES);
        self.send(to, &Message::Digests(digests), Priority::Routine);
    }

    /// Answers digests with the records that the sender lacks, and requests those that this process lacks.
    pub fn handle_digests(&mut self, sender: Member, digests: &[Digest]) {
        let mut requests = Vec::new();
        let mut answers = Vec::new();
        for digest in digests {
            let owner = digest.owner;
            match self.records.apply_digest(digest, self.now) {
                Comparison::Behind {
                    incarnation,
                    since_version,
                } if requests.len() < MAX_REQUESTS => requests.push(RecordsRequest {
                    owner,
                    incarnation,
                    since_version,
                }),
                Comparison::Ahead {
                    incarnation,
                    since_version,
                } => answers.push(RecordsRequest {
                    owner,
                    incarnation,
                    since_version,
                }),
                Comparison::AtCapacity => self.report_at_capacity(),
                Comparison::Behind { .. } | Comparison::InSync => {}
            }
        }
        if !requests.is_empty() {
            let message = Message::Requests(requests);
            self.send(sender.address, &message, Priority::Routine);
        }
        self.handle_requests(sender, &answers);
    }

    /// Sends the records that another member requests.
    pub fn handle_requests(&mut self, sender: Member, requests: &[RecordsRequest]) {
        for request in requests {
            let update = self.updates_since(request.owner, request.since_version);
            if let Some(update) = update {
                let urgent = false;
                let message = Message::Update { urgent, update };
                self.send(sender.address, &message, Priority::Routine);
            }
        }
    }

    /// Applies an update from another member, and pushes it on if it is urgent and contained anything new.
    ///
    /// # Errors
    ///
    /// [`DropReason::OwnersAtCapacity`] if the owner is new and the maximum number of owners is held.
    pub fn handle_update(
        &mut self,
        sender: Member,
        urgent: bool,
        update: RecordsUpdate,
    ) -> Result<(), DropReason> {
        let owner = update.digest.owner;
        let copy = urgent.then(|| update.clone());
        if self.records.apply_update(update, self.now)? {
            self.events.push(Event::RecordsUpdated(owner));
            if let Some(copy) = copy {
                self.push_to_random_members(&copy, Some(sender.address));
            }
        }
        Ok(())
    }

    /// Pushes the urgent record of this process that has the version `version`, the newest one. If all of this
    /// process's records fit into one datagram, all are sent, so that a member that lacks an earlier record can also
    /// apply the update; otherwise only the newest is sent.
    pub fn push_own(&mut self, version: u64) {
        let own = self.records.own().address;
        let update = self
            .updates_since(own, 0)
            .filter(|update| update.digest.max_version == version)
            .or_else(|| self.updates_since(own, version - 1));
        if let Some(update) = update {
            self.push_to_random_members(&update, None);
        }
    }

    /// Counts that there was no capacity for another process, and reports it unless that was done within a minute.
    pub fn report_at_capacity(&mut self) {
        let occurrences = self.transport.count_at_capacity();
        self.events.push_at_capacity(occurrences, self.now);
    }

    fn push_to_random_members(&mut self, update: &RecordsUpdate, except: Option<SocketAddrV4>) {
        let mut others: Vec<SocketAddrV4> = self
            .membership
            .addresses()
            .filter(|address| Some(*address) != except)
            .collect();
        let message = Message::Update {
            urgent: true,
            update: update.clone(),
        };
        for _ in 0..FANOUT.min(others.len()) {
            let to = others.swap_remove(self.random.random_range(0..others.len()));
            self.send(to, &message, Priority::Urgent);
        }
    }

    fn updates_since(&self, owner: SocketAddrV4, since_version: u64) -> Option<RecordsUpdate> {
        self.records
            .updates_since(owner, since_version, self.now, MAX_MESSAGE_BYTES)
    }

    fn send(&mut self, to: SocketAddrV4, message: &Message, priority: Priority) {
        let sender = self.membership.identity();
        self.transport.send(sender, to, message, priority, self.now);
    }
}
