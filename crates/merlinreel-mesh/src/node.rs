//! One process's part in the mesh, without I/O: datagrams and the time go in, datagrams and the next time it wants to be
//! called come out. Membership is SWIM by the `foca` crate; records go round by comparing stamps with one process a
//! second, and urgent ones at once to a few, who pass them on.

mod part;

pub use part::{Counts, Event, Outgoing, Part};

use crate::budget::{Budget, Weight};
use crate::capacity::Capacity;
use crate::error::{Dropped, PublishError};
use crate::member::Member;
use crate::records::{Kind, Lead, Records, Telling, View};
use crate::seal::{Keys, MOST_BYTES, OVERHEAD, Seal};
use crate::wire::{MOST_ASKED, Message, decode, encode};
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use part::swim_form;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Content of one datagram at most.
pub const MOST_CONTENT: usize = MOST_BYTES - OVERHEAD;
/// How often one process is asked to compare; a stamp of fifty others takes 0.9 KB.
const COMPARE: Duration = Duration::from_secs(1);
/// How often an own beat is made: ages are told to this.
const BEAT: Duration = Duration::from_secs(1);
/// Urgent records go to so many, and from those on: three hops reach fifty, and with a fifth of the datagrams lost
/// all but one in some ten thousand after a comparison or two.
const FAN: usize = 4;
/// How often seeds are asked while nobody else is known, and one process taken for dead while somebody is.
const REJOIN: Duration = Duration::from_secs(1);
const CALL_DEAD: Duration = Duration::from_secs(3);
/// How often it is told, at most, that there is no room for another process.
const TELL_NO_ROOM: Duration = Duration::from_secs(60);

pub struct Node {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    swim: AccumulatingRuntime<Member>,
    /// By due time; the number keeps those of one moment in order.
    timers: BTreeMap<(Duration, u64), Timer<Member>>,
    timer: u64,
    records: Records,
    seal: Seal,
    budget: Budget,
    chance: ChaCha8Rng,
    seeds: Vec<SocketAddrV4>,
    /// Taken for dead, the one that was so first in front.
    gone: VecDeque<SocketAddrV4>,
    capacity: Capacity,
    no_room_told: Option<Duration>,
    compare_at: Duration,
    beat_at: Duration,
    rejoin_at: Duration,
    call_dead_at: Duration,
    out: VecDeque<Outgoing>,
    events: VecDeque<Event>,
    counts: Counts,
    unix: Duration,
    left: bool,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.debug_struct("Node")
            .field("own", &self.own())
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Begins at `now`, by this process's monotonic clock; `unix` is the time that all agree on.
    pub fn new(part: Part, now: Duration, unix: Duration) -> Node {
        let mut chance = ChaCha8Rng::seed_from_u64(part.seed);
        let swim_chance = ChaCha8Rng::seed_from_u64(chance.random());
        let jitter = Duration::from_millis(chance.random_range(0..1000));
        let foca = Foca::new(part.own, swim_form(), swim_chance, PostcardCodec);
        let own = part.own.at;
        Node {
            foca,
            swim: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer: 0,
            records: Records::new(part.own, part.capacity.owners),
            seal: Seal::new(part.keys, part.capacity.senders),
            budget: Budget::new(part.bytes_a_second, part.bytes_at_once, now),
            chance,
            seeds: part.seeds.into_iter().filter(|at| *at != own).collect(),
            gone: VecDeque::new(),
            capacity: part.capacity,
            no_room_told: None,
            compare_at: now + jitter,
            beat_at: now,
            rejoin_at: now,
            call_dead_at: now + CALL_DEAD,
            out: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            unix,
            left: false,
        }
    }

    pub fn own(&self) -> Member {
        self.records.own()
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The others that live as far as is known, suspects included.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.foca.iter_members().map(|member| *member.id())
    }

    pub fn view(&self, now: Duration) -> View<'_> {
        self.records.view(now)
    }

    pub fn rekey(&mut self, keys: Keys) {
        self.seal.rekey(keys);
    }

    /// Writes an own record; an `urgent` one goes out at once.
    pub fn publish(
        &mut self,
        kind: Kind,
        body: Vec<u8>,
        life: Duration,
        urgent: bool,
        now: Duration,
    ) -> Result<(), PublishError> {
        let Some(number) = self.records.publish(kind, body, life, now)? else {
            return Ok(());
        };
        self.records.beat(now);
        if urgent && let Some(telling) = self.urgent_telling(number, now) {
            self.spread(&telling, None, now);
        }
        Ok(())
    }

    /// All own records where one datagram holds them, so that the newest is taken also by who has not heard of an
    /// earlier one; else the newest alone.
    fn urgent_telling(&self, number: u64, now: Duration) -> Option<Telling> {
        let own = self.own().at;
        let all = self.records.tell(own, 0, now, MOST_CONTENT - 8);
        all.filter(|telling| telling.stamp.top == number)
            .or_else(|| self.records.tell(own, number - 1, now, MOST_CONTENT - 8))
    }

    /// Tells the others that this process ends.
    pub fn leave(&mut self, now: Duration) {
        self.left = true;
        let _ = self.foca.leave_cluster(&mut self.swim);
        self.drain(now);
    }

    /// What is to be sent, in order.
    pub fn outgoing(&mut self) -> Option<Outgoing> {
        self.out.pop_front()
    }

    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When it wants to be called next, at the latest.
    pub fn wakes_at(&self) -> Duration {
        let timer = self.timers.keys().next().map(|&(at, _)| at);
        let own = self
            .compare_at
            .min(self.beat_at)
            .min(self.rejoin_at)
            .min(self.call_dead_at);
        timer.map_or(own, |at| at.min(own))
    }

    /// Does what is due. After a stall of this process much is due at once; it is done once, in order.
    pub fn turn(&mut self, now: Duration, unix: Duration) {
        self.unix = unix;
        if self.left {
            return;
        }
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let timer = entry.remove();
            // A timer of a member that is gone meanwhile is no fault.
            let _ = self.foca.handle_timer(timer, &mut self.swim);
            self.drain(now);
        }
        if self.beat_at <= now {
            self.beat_at = now + BEAT;
            self.records.beat(now);
            self.records
                .note_alive(self.foca.iter_members().map(|member| *member.id()));
            self.records.tidy(now);
        }
        if self.rejoin_at <= now {
            self.rejoin_at = now + REJOIN;
            if self.foca.num_members() == 0 {
                self.call_seeds();
                self.drain(now);
            }
        }
        if self.call_dead_at <= now {
            self.call_dead_at = now + CALL_DEAD;
            self.call_dead();
            self.drain(now);
        }
        if self.compare_at <= now {
            // A little less or more each time: guards against all processes in step.
            self.compare_at = now + COMPARE.mul_f64(self.chance.random_range(0.8..1.2));
            self.compare(now);
        }
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, bytes: &[u8], now: Duration, unix: Duration) {
        self.unix = unix;
        if self.left {
            return;
        }
        let own = self.own();
        let opened = self.seal.open(own, now, unix, bytes);
        let taken = opened.and_then(|(from, content)| Ok((from, decode(content)?)));
        match taken {
            Ok((from, message)) => {
                self.counts.received += 1;
                if let Err(why) = self.take(from, message, now) {
                    self.drop_one(why, now);
                }
            }
            Err(why) => self.drop_one(why, now),
        }
        self.drain(now);
    }

    fn drop_one(&mut self, why: Dropped, now: Duration) {
        *self.counts.dropped.entry(why.name()).or_default() += 1;
        if matches!(why, Dropped::OwnersFull | Dropped::SendersFull) {
            self.note_no_room(now);
        }
    }

    fn note_no_room(&mut self, now: Duration) {
        self.counts.no_room += 1;
        if self
            .no_room_told
            .is_none_or(|told| now >= told + TELL_NO_ROOM)
        {
            self.no_room_told = Some(now);
            self.events.push_back(Event::NoRoom(self.counts.no_room));
        }
    }

    /// Notes a process taken for dead, to be called again; beyond the bound the one noted first is let go of.
    fn note_gone(&mut self, at: SocketAddrV4) {
        if self.gone.contains(&at) {
            return;
        }
        if self.gone.len() >= self.capacity.dead {
            self.gone.pop_front();
        }
        self.gone.push_back(at);
    }

    fn take(&mut self, from: Member, message: Message, now: Duration) -> Result<(), Dropped> {
        match message {
            Message::Swim(packet) => {
                self.foca
                    .handle_data(&packet, &mut self.swim)
                    .map_err(|error| match error {
                        foca::Error::DataFromOurselves => Dropped::Own,
                        _ => Dropped::Content,
                    })
            }
            Message::Stamps(stamps) => {
                let (mut asked, mut told) = (Vec::new(), Vec::new());
                for stamp in &stamps {
                    match self.records.hear(stamp, now) {
                        Lead::Theirs { incarnation, above } if asked.len() < MOST_ASKED => {
                            asked.push((stamp.at, incarnation, above));
                        }
                        Lead::Ours { above, .. } => told.push((stamp.at, above)),
                        Lead::NoRoom => self.note_no_room(now),
                        Lead::Theirs { .. } | Lead::Level => {}
                    }
                }
                if !asked.is_empty() {
                    self.send(from.at, &Message::Ask(asked), Weight::Routine, now);
                }
                self.tell_all(from.at, told, now);
                Ok(())
            }
            Message::Ask(asked) => {
                let told = asked
                    .into_iter()
                    .map(|(at, _, above)| (at, above))
                    .collect();
                self.tell_all(from.at, told, now);
                Ok(())
            }
            Message::Tell { urgent, telling } => {
                let at = telling.stamp.at;
                let copy = urgent.then(|| telling.clone());
                if self.records.take(telling, now)? {
                    self.events.push_back(Event::Records(at));
                    if let Some(copy) = copy {
                        self.spread(&copy, Some(from.at), now);
                    }
                }
                Ok(())
            }
        }
    }

    fn tell_all(&mut self, to: SocketAddrV4, of: Vec<(SocketAddrV4, u64)>, now: Duration) {
        for (at, above) in of {
            if let Some(telling) = self.records.tell(at, above, now, MOST_CONTENT - 8) {
                self.send(
                    to,
                    &Message::Tell {
                        urgent: false,
                        telling,
                    },
                    Weight::Routine,
                    now,
                );
            }
        }
    }

    /// To a few others, chosen by chance.
    fn spread(&mut self, telling: &Telling, but: Option<SocketAddrV4>, now: Duration) {
        let mut others: Vec<_> = self
            .members()
            .map(|other| other.at)
            .filter(|at| Some(*at) != but)
            .collect();
        for _ in 0..FAN.min(others.len()) {
            let to = others.swap_remove(self.chance.random_range(0..others.len()));
            self.send(
                to,
                &Message::Tell {
                    urgent: true,
                    telling: telling.clone(),
                },
                Weight::Urgent,
                now,
            );
        }
    }

    fn compare(&mut self, now: Duration) {
        let others: Vec<_> = self.members().map(|other| other.at).collect();
        if others.is_empty() {
            return;
        }
        let to = others[self.chance.random_range(0..others.len())];
        let stamps = self.records.stamps(now, MOST_CONTENT - 8);
        self.send(to, &Message::Stamps(stamps), Weight::Routine, now);
    }

    fn call_seeds(&mut self) {
        for at in self.seeds.clone() {
            let _ = self.foca.announce(Member::unknown(at), &mut self.swim);
        }
    }

    /// One seed or process taken for dead, by turns of chance: two sides of a cut that took one another for dead find
    /// each other again.
    fn call_dead(&mut self) {
        let mut call: Vec<SocketAddrV4> = self.gone.iter().chain(&self.seeds).copied().collect();
        call.sort_unstable();
        call.dedup();
        let alive: Vec<SocketAddrV4> = self.members().map(|member| member.at).collect();
        call.retain(|at| !alive.contains(at));
        if !call.is_empty() {
            let at = call[self.chance.random_range(0..call.len())];
            let _ = self.foca.announce(Member::unknown(at), &mut self.swim);
        }
    }

    /// Carries out what the membership wants.
    fn drain(&mut self, now: Duration) {
        while let Some((to, packet)) = self.swim.to_send() {
            self.send(
                to.at,
                &Message::Swim(packet.to_vec()),
                Weight::Membership,
                now,
            );
        }
        while let Some((after, timer)) = self.swim.to_schedule() {
            self.timer += 1;
            self.timers.insert((now + after, self.timer), timer);
        }
        while let Some(what) = self.swim.to_notify() {
            match what {
                OwnedNotification::MemberUp(member) | OwnedNotification::Rename(_, member) => {
                    self.gone.retain(|at| *at != member.at);
                    self.events.push_back(Event::Up(member));
                }
                OwnedNotification::MemberDown(member) => {
                    self.note_gone(member.at);
                    self.events.push_back(Event::Down(member));
                }
                // Taken for dead, and back as the next incarnation.
                OwnedNotification::Rejoin(own) => self.records.renew(own.incarnation, now),
                OwnedNotification::Defunct
                | OwnedNotification::Active
                | OwnedNotification::Idle => {}
            }
        }
        // Records learnt of a later life of this process: the membership goes on under that, too.
        let own = self.own();
        if !self.left && own.incarnation > self.foca.identity().incarnation {
            let _ = self.foca.change_identity(own, &mut self.swim);
        }
    }

    fn send(&mut self, to: SocketAddrV4, message: &Message, weight: Weight, now: Duration) {
        let own = *self.foca.identity();
        let bytes = self.seal.close(own, to, self.unix, &encode(message));
        if bytes.len() > MOST_BYTES || !self.budget.takes(bytes.len(), weight, now) {
            self.counts.held_back += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push_back((to, bytes));
    }
}
