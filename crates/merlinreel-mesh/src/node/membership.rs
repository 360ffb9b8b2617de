//! The SWIM membership protocol of the `foca` crate, with the timers that it asks for.

use super::transport::MAX_MESSAGE_BYTES;
use crate::error::DropReason;
use crate::member::Member;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Probes, suspicions and removals of the protocol.
fn protocol_config() -> foca::Config {
    foca::Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: NonZeroUsize::new(3).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(8).unwrap_or(NonZeroU8::MIN),
        // A stalled process has that long to refute the suspicion.
        suspect_to_down_after: Duration::from_secs(4),
        // A greater incarnation joins at once whatever this is, and a member that was wrongly declared dead rejoins
        // under its next incarnation.
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: None,
    }
}

/// A packet of the protocol that is to be sent.
pub struct Packet {
    /// The receiver.
    pub to: SocketAddrV4,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// A change that the protocol found out.
pub enum MembershipChange {
    /// A member joined, came back, or has a new incarnation.
    Up(Member),
    /// A member left or was declared dead.
    Down(Member),
    /// This process was declared dead and rejoined under that incarnation.
    Rejoined(u64),
}

/// When a timer is due; the number keeps timers that are due at one moment in order.
type TimerKey = (Duration, u64);

/// Which members are alive, as this process sees it.
pub struct Membership {
    protocol: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    /// Collects what the protocol wants done.
    runtime: AccumulatingRuntime<Member>,
    timers: BTreeMap<TimerKey, Timer<Member>>,
    last_timer: u64,
}

impl Membership {
    /// Knows this process only.
    pub fn new(own: Member, random: ChaCha8Rng) -> Membership {
        Membership {
            protocol: Foca::new(own, protocol_config(), random, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
        }
    }

    /// This process as the protocol presents it to others.
    pub fn identity(&self) -> Member {
        *self.protocol.identity()
    }

    /// The other members that are alive or suspected.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.protocol.iter_members().map(|member| *member.id())
    }

    /// Their addresses.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.members().map(|member| member.address)
    }

    /// Whether no other member is known.
    pub fn is_alone(&self) -> bool {
        self.protocol.num_members() == 0
    }

    /// Announces this process to the one at an address, which answers with the members that it knows.
    pub fn announce(&mut self, to: SocketAddrV4) {
        let member = Member::unknown(to);
        // The only fault is a packet that can't be written; the announcement is repeated anyway.
        let _ = self.protocol.announce(member, &mut self.runtime);
    }

    /// Continues under another identity of this process.
    pub fn change_identity(&mut self, own: Member) {
        // The only fault is an unchanged identity.
        let _ = self.protocol.change_identity(own, &mut self.runtime);
    }

    /// Announces to the other members that this process leaves.
    pub fn leave(&mut self) {
        // A member that does not learn of it finds out by its probes.
        let _ = self.protocol.leave_cluster(&mut self.runtime);
    }

    /// Handles a packet from another member.
    ///
    /// # Errors
    ///
    /// If the packet is this process's own or can't be decoded.
    pub fn handle_packet(&mut self, packet: &[u8]) -> Result<(), DropReason> {
        self.protocol
            .handle_data(packet, &mut self.runtime)
            .map_err(|error| match error {
                foca::Error::DataFromOurselves => DropReason::FromSelf,
                _ => DropReason::InvalidContent,
            })
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.keys().next().map(|&(due_at, _)| due_at)
    }

    /// Handles the next timer if it is due; returns whether it was.
    pub fn run_due_timer(&mut self, now: Duration) -> bool {
        let first = self.timers.first_entry();
        let Some(entry) = first.filter(|entry| entry.key().0 <= now) else {
            return false;
        };
        let timer = entry.remove();
        // A timer of a member that was removed meanwhile is no fault.
        let _ = self.protocol.handle_timer(timer, &mut self.runtime);
        true
    }

    /// Schedules the timers that the protocol has asked for.
    pub fn schedule_timers(&mut self, now: Duration) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer += 1;
            self.timers.insert((now + after, self.last_timer), timer);
        }
    }

    /// Takes the next packet that is to be sent.
    pub fn next_packet(&mut self) -> Option<Packet> {
        let (to, bytes) = self.runtime.to_send()?;
        Some(Packet {
            to: to.address,
            bytes: bytes.to_vec(),
        })
    }

    /// Takes the next change.
    pub fn next_change(&mut self) -> Option<MembershipChange> {
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) | OwnedNotification::Rename(_, member) => {
                    return Some(MembershipChange::Up(member));
                }
                OwnedNotification::MemberDown(member) => {
                    return Some(MembershipChange::Down(member));
                }
                OwnedNotification::Rejoin(own) => {
                    return Some(MembershipChange::Rejoined(own.incarnation));
                }
                OwnedNotification::Defunct
                | OwnedNotification::Active
                | OwnedNotification::Idle => {}
            }
        }
        None
    }
}
