//! The mesh protocol of one process, without I/O and without a clock. The inputs are received datagrams and the time;
//! the outputs are datagrams, events, and the time at which the node must be called next.

mod config;
mod contacts;
mod events;
mod exchange;
mod membership;
mod schedule;
mod transport;

pub use config::NodeConfig;
pub use events::Event;
pub use transport::{Counters, Datagram};

use crate::authenticator::Authenticator;
use crate::error::{DropReason, PublishError};
use crate::keys::Keys;
use crate::member::Member;
use crate::records::{Kind, RecordStore, Urgency, View};
use crate::send_budget::{Priority, SendBudget};
use crate::wire::Message;
use contacts::Contacts;
use events::EventQueue;
use exchange::Exchange;
use membership::{Membership, MembershipChange};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schedule::Schedule;
use std::fmt;
use std::time::Duration;
use transport::{ReceivedMessage, Transport};

/// The mesh protocol of one process.
///
/// `now` is always this process's monotonic time, from any origin, and `unix_time` the Unix time. After each call the
/// caller takes and sends datagrams until [`next_datagram`](Node::next_datagram) returns `None`, takes events until
/// [`next_event`](Node::next_event) returns `None`, and calls [`tick`](Node::tick) at the time that
/// [`next_tick`](Node::next_tick) returns, or earlier.
pub struct Node {
    membership: Membership,
    contacts: Contacts,
    records: RecordStore,
    transport: Transport,
    schedule: Schedule,
    events: EventQueue,
    random: ChaCha8Rng,
    has_left: bool,
}

impl fmt::Debug for Node {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter
            .debug_struct("Node")
            .field("own", &self.own())
            .field("counters", self.counters())
            .finish_non_exhaustive()
    }
}

impl Node {
    /// A node that knows no other member yet, only its seeds. The first [`tick`](Node::tick) is due at `now`.
    pub fn new(config: NodeConfig, now: Duration, unix_time: Duration) -> Node {
        let own = config.own;
        let capacity = config.capacity;
        let mut random = ChaCha8Rng::seed_from_u64(config.random_seed);
        let membership_random = ChaCha8Rng::seed_from_u64(random.random());
        let comparison_delay = Duration::from_millis(random.random_range(0..1000));
        let mut seeds = config.seeds;
        seeds.retain(|seed| *seed != own.address);
        let authenticator = Authenticator::new(config.keys, capacity.senders);
        let budget = SendBudget::new(config.bytes_per_second, config.burst_bytes, now);
        Node {
            membership: Membership::new(own, membership_random),
            contacts: Contacts::new(seeds, capacity.departed),
            records: RecordStore::new(own, capacity.owners),
            transport: Transport::new(authenticator, budget, unix_time),
            schedule: Schedule::new(now, comparison_delay),
            events: EventQueue::default(),
            random,
            has_left: false,
        }
    }

    /// This process in its current incarnation.
    pub fn own(&self) -> Member {
        self.records.own()
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        self.transport.counters()
    }

    /// The other members that are alive or suspected.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.membership.members()
    }

    /// The records that are valid now.
    pub fn view(&self, now: Duration) -> View<'_> {
        self.records.view(now)
    }

    /// Replaces the keys that sign and verify datagrams.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.transport.replace_keys(keys);
    }

    /// Publishes a record of this process; an empty body withdraws it. At another member it is valid while that member
    /// considers this process alive, and until `ttl` after the last heartbeat that confirmed it there; `ttl` is rounded
    /// down to whole seconds, and is at least 1 and at most 65535 of them. Publishing the same body with the same TTL
    /// again has no effect.
    ///
    /// # Errors
    ///
    /// If the body has more than 900 bytes, or the process has 16 kinds of records already.
    pub fn publish(
        &mut self,
        kind: Kind,
        body: Vec<u8>,
        ttl: Duration,
        urgency: Urgency,
        now: Duration,
    ) -> Result<(), PublishError> {
        let Some(version) = self.records.publish(kind, body, ttl, now)? else {
            return Ok(());
        };
        self.records.increment_heartbeat(now);
        if urgency == Urgency::Urgent {
            self.exchange(now).push_own(version);
        }
        Ok(())
    }

    /// Announces to the other members that this process leaves. [`tick`](Node::tick) and [`receive`](Node::receive) do
    /// nothing afterwards.
    pub fn leave(&mut self, now: Duration) {
        self.has_left = true;
        self.membership.leave();
        self.apply_membership_output(now);
    }

    /// Takes the next datagram that is to be sent.
    pub fn next_datagram(&mut self) -> Option<Datagram> {
        self.transport.next_datagram()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop()
    }

    /// The time at which [`tick`](Node::tick) must be called next, at the latest.
    pub fn next_tick(&self) -> Duration {
        let own = self.schedule.next();
        self.membership
            .next_timer()
            .map_or(own, |timer| timer.min(own))
    }

    /// Does all work that is due. Periodic work that became due several times during a stall is done once.
    pub fn tick(&mut self, now: Duration, unix_time: Duration) {
        self.transport.set_unix_time(unix_time);
        if self.has_left {
            return;
        }
        while self.membership.run_due_timer(now) {
            self.apply_membership_output(now);
        }
        if self.schedule.take_heartbeat(now) {
            self.records.increment_heartbeat(now);
            self.records.set_alive(self.membership.members());
            self.records.remove_expired(now);
        }
        if self.schedule.take_rejoin(now) && self.membership.is_alone() {
            self.contact_seeds();
            self.apply_membership_output(now);
        }
        if self.schedule.take_departed_probe(now) {
            self.probe_departed();
            self.apply_membership_output(now);
        }
        if self.schedule.take_comparison(now, &mut self.random) {
            self.exchange(now).send_digests_to_one_member();
        }
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, bytes: &[u8], now: Duration, unix_time: Duration) {
        self.transport.set_unix_time(unix_time);
        if self.has_left {
            return;
        }
        let received = self.transport.receive(self.records.own(), bytes, now);
        let handled = received.and_then(|received| self.handle_message(received, now));
        if let Err(reason) = handled {
            self.count_drop(reason, now);
        }
        self.apply_membership_output(now);
    }

    fn handle_message(
        &mut self,
        received: ReceivedMessage,
        now: Duration,
    ) -> Result<(), DropReason> {
        let sender = received.sender;
        match received.message {
            Message::Swim(packet) => self.membership.handle_packet(&packet),
            Message::Digests(digests) => {
                self.exchange(now).handle_digests(sender, &digests);
                Ok(())
            }
            Message::Requests(requests) => {
                self.exchange(now).handle_requests(sender, &requests);
                Ok(())
            }
            Message::Update { urgent, update } => {
                self.exchange(now).handle_update(sender, urgent, update)
            }
        }
    }

    fn count_drop(&mut self, reason: DropReason, now: Duration) {
        self.transport.count_drop(reason);
        if matches!(
            reason,
            DropReason::OwnersAtCapacity | DropReason::SendersAtCapacity
        ) {
            self.exchange(now).report_at_capacity();
        }
    }

    fn exchange(&mut self, now: Duration) -> Exchange<'_> {
        Exchange {
            membership: &self.membership,
            records: &mut self.records,
            transport: &mut self.transport,
            events: &mut self.events,
            random: &mut self.random,
            now,
        }
    }

    fn contact_seeds(&mut self) {
        for seed in self.contacts.seeds() {
            self.membership.announce(*seed);
        }
    }

    /// Announces this process to one departed member or seed, so that the two sides of a network partition, each of
    /// which declared the other dead, merge again once the partition heals.
    fn probe_departed(&mut self) {
        let alive: Vec<_> = self.membership.addresses().collect();
        if let Some(address) = self.contacts.choose(&alive, &mut self.random) {
            self.membership.announce(address);
        }
    }

    /// Sends the packets, schedules the timers and applies the changes that the membership protocol has produced.
    fn apply_membership_output(&mut self, now: Duration) {
        while let Some(packet) = self.membership.next_packet() {
            let sender = self.membership.identity();
            let message = Message::Swim(packet.bytes);
            self.transport
                .send(sender, packet.to, &message, Priority::Membership, now);
        }
        self.membership.schedule_timers(now);
        while let Some(change) = self.membership.next_change() {
            self.apply_membership_change(change, now);
        }
        // A digest may have shown a later incarnation of this process than its own. The record store has then continued
        // under a greater one, which the membership protocol has to use too.
        let own = self.own();
        if !self.has_left && own.incarnation > self.membership.identity().incarnation {
            self.membership.change_identity(own);
        }
    }

    fn apply_membership_change(&mut self, change: MembershipChange, now: Duration) {
        match change {
            MembershipChange::Up(member) => {
                self.contacts.remove_departed(member.address);
                self.events.push(Event::MemberUp(member));
            }
            MembershipChange::Down(member) => {
                self.contacts.add_departed(member.address);
                self.events.push(Event::MemberDown(member));
            }
            MembershipChange::Rejoined(incarnation) => {
                self.records.renew_incarnation(incarnation, now);
            }
        }
    }
}
