//! What can go wrong, each with what an operator can do about it.

use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The mesh can't be started, or its keys not be read again.
#[derive(Debug, Error)]
pub enum MeshError {
    #[error("mesh.keys: there is none; name at least one key file, the same on all limiters")]
    NoKey,
    #[error("mesh.keys: id {0} stands there twice; give each key an id of its own, from 0 to 255")]
    KeyTwice(u8),
    #[error("mesh.sign_with: no key has the id {0}; name the id of a key in mesh.keys")]
    NoSuchKey(u8),
    #[error(
        "mesh.keys: {path}: {error}; the file must be there and readable by the limiter's user"
    )]
    KeyUnread {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error(
        "mesh.keys: {path} holds {bytes} bytes; a key needs at least {least}, from a source of chance"
    )]
    KeyShort {
        path: PathBuf,
        bytes: usize,
        least: usize,
    },
    #[error("mesh.listen: {at}: {error}; the address must be this machine's, its port free")]
    Listen {
        at: SocketAddr,
        error: std::io::Error,
    },
}

/// A record that was not published; nothing has changed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PublishError {
    #[error("a record of {bytes} bytes is longer than {most}; tell less in it")]
    TooLong { bytes: usize, most: usize },
    #[error("this process has {0} kinds of records already, which is the most")]
    TooMany(usize),
    #[error("the record can't be written as JSON: {0}")]
    Unwritable(String),
    #[error("the mesh has ended")]
    Ended,
}

/// Why a datagram was dropped. Each is counted for itself.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    #[error("longer than any may be")]
    Oversized,
    #[error("cut short, or no datagram of the mesh")]
    Malformed,
    #[error("of another version of the mesh's form")]
    OtherForm,
    #[error("signed with a key that is not known here")]
    UnknownKey,
    #[error("its signature is another's, or it was meant for another process")]
    Forged,
    #[error("seen before, or too old to tell")]
    Repeated,
    #[error("sent at a time far from this machine's clock")]
    Clock,
    #[error("from this process itself")]
    Own,
    #[error("its content makes no sense")]
    Content,
    #[error(
        "as many senders are remembered as there is room for; see the settings' number of limiters"
    )]
    SendersFull,
    #[error(
        "records are held of as many processes as there is room for; see the settings' number of limiters"
    )]
    OwnersFull,
}

impl Dropped {
    pub const ALL: [Dropped; 11] = [
        Dropped::Oversized,
        Dropped::Malformed,
        Dropped::OtherForm,
        Dropped::UnknownKey,
        Dropped::Forged,
        Dropped::Repeated,
        Dropped::Clock,
        Dropped::Own,
        Dropped::Content,
        Dropped::SendersFull,
        Dropped::OwnersFull,
    ];

    /// Its name in figures.
    pub const fn name(self) -> &'static str {
        match self {
            Dropped::Oversized => "oversized",
            Dropped::Malformed => "malformed",
            Dropped::OtherForm => "other_form",
            Dropped::UnknownKey => "unknown_key",
            Dropped::Forged => "forged",
            Dropped::Repeated => "repeated",
            Dropped::Clock => "clock",
            Dropped::Own => "own",
            Dropped::Content => "content",
            Dropped::SendersFull => "senders_full",
            Dropped::OwnersFull => "owners_full",
        }
    }
}
