//! The SWIM membership protocol of the `foca` crate, and the timers that it schedules.

use super::transport::MAX_MESSAGE_BYTES;
use crate::error::DropReason;
use crate::member::Member;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Configures the probes, suspicions and removals of the protocol.
fn protocol_config() -> foca::Config {
    foca::Config {
        probe_period: Duration::from_millis(1000),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: NonZeroUsize::new(3).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(8).unwrap_or(NonZeroU8::MIN),
        // The time in which a stalled process can refute the suspicion.
        suspect_to_down_after: Duration::from_secs(4),
        // This delays no rejoin: a greater incarnation of a dead member is accepted at once, and a member that was
        // wrongly declared dead rejoins under its next incarnation.
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: None,
    }
}

/// A protocol packet to be sent.
pub struct Packet {
    /// The receiver.
    pub to: SocketAddrV4,
    /// The packet as encoded by `foca`.
    pub bytes: Vec<u8>,
}

/// A change of the membership that the protocol has detected.
pub enum MembershipChange {
    /// A member joined, rejoined or has a new incarnation.
    Up(Member),
    /// A member left or was declared dead.
    Down(Member),
    /// This process was declared dead by another member and rejoined under this incarnation.
    Rejoined(u64),
}

/// When a timer is due, and its number, which keeps timers that are due at the same time in the order of scheduling.
type TimerKey = (Duration, u64);

/// The members that are alive in this process's view.
pub struct Membership {
    protocol: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    /// Collects the packets, timers and notifications that the protocol produces.
    runtime: AccumulatingRuntime<Member>,
    timers: BTreeMap<TimerKey, Timer<Member>>,
    last_timer_number: u64,
}

impl Membership {
    /// A membership that consists of this process only.
    pub fn new(own: Member, random: ChaCha8Rng) -> Membership {
        Membership {
            protocol: Foca::new(own, protocol_config(), random, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer_number: 0,
        }
    }

    /// This process in the incarnation that the protocol presents to other members.
    pub fn identity(&self) -> Member {
        *self.protocol.identity()
    }

    /// The other members that are alive or suspected.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.protocol.iter_members().map(|member| *member.id())
    }

    /// The addresses of the other members that are alive or suspected.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.members().map(|member| member.address)
    }

    /// Whether no other member is known.
    pub fn is_alone(&self) -> bool {
        self.protocol.num_members() == 0
    }

    /// Announces this process to the one at the address `to`, which answers with the members that it knows.
    pub fn announce(&mut self, to: SocketAddrV4) {
        let member = Member::unknown(to);
        // Fails only if the packet can't be encoded; announcements are repeated anyway.
        let _ = self.protocol.announce(member, &mut self.runtime);
    }

    /// Continues as another incarnation of this process.
    pub fn change_identity(&mut self, own: Member) {
        // Fails if the identity is unchanged, or a packet can't be encoded.
        let _ = self.protocol.change_identity(own, &mut self.runtime);
    }

    /// Announces to the other members that this process leaves.
    pub fn leave(&mut self) {
        // A member that the announcement does not reach detects the departure by its probes.
        let _ = self.protocol.leave_cluster(&mut self.runtime);
    }

    /// Handles a packet from another member.
    ///
    /// # Errors
    ///
    /// [`DropReason::FromSelf`] if this process sent the packet, [`DropReason::InvalidContent`] if the protocol reports
    /// another error, such as a packet that can't be decoded.
    pub fn handle_packet(&mut self, packet: &[u8]) -> Result<(), DropReason> {
        self.protocol
            .handle_data(packet, &mut self.runtime)
            .map_err(|error| match error {
                foca::Error::DataFromOurselves => DropReason::FromSelf,
                _ => DropReason::InvalidContent,
            })
    }

    /// When the next timer is due; `None` if no timer is scheduled.
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
        // The protocol recovers from a timer that fails, such as one of a probe that a stall left incomplete.
        let _ = self.protocol.handle_timer(timer, &mut self.runtime);
        true
    }

    /// Schedules the timers that the protocol has requested since the last call.
    pub fn schedule_timers(&mut self, now: Duration) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer_number += 1;
            self.timers
                .insert((now + after, self.last_timer_number), timer);
        }
    }

    /// Takes the next packet to be sent; `None` if there is none.
    pub fn next_packet(&mut self) -> Option<Packet> {
        let (to, bytes) = self.runtime.to_send()?;
        Some(Packet {
            to: to.address,
            bytes: bytes.to_vec(),
        })
    }

    /// Takes the next change of the membership; `None` if there is none.
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
