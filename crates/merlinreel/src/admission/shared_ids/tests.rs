use super::*;
use std::sync::atomic::{AtomicU16, Ordering};
use test_case::test_case;

const REFUSAL: Duration = Duration::from_secs(60);
const MAX_FILE_BYTES: u64 = 4096;
static NEXT_PORT: AtomicU16 = AtomicU16::new(1);

/// An address of its own for each test, so that they share no file.
fn listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("merlinreel-ids-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn open(listen: SocketAddr) -> SharedIds {
    SharedIds::open(&folder(), listen, 8, MAX_FILE_BYTES).expect("files")
}

/// What the first process does with the id before the second one claims it.
enum First {
    Claims,
    ClaimsAndReleases,
    ClaimsAnother,
}

/// Guards against a second run of a request that comes again at the other process of an upgrade.
#[test_case(First::Claims, false => false ; "claimed while both run")]
#[test_case(First::Claims, true => false ; "claimed before the other started")]
#[test_case(First::ClaimsAndReleases, false => true ; "released")]
#[test_case(First::ClaimsAndReleases, true => true ; "released before the other started")]
#[test_case(First::ClaimsAnother, false => true ; "another id")]
fn id_of_another_process_is_refused(first_does: First, starts_later: bool) -> bool {
    let listen = listen();
    let mut first = open(listen);
    let early = (!starts_later).then(|| open(listen));
    let id: &[u8] = if matches!(first_does, First::ClaimsAnother) {
        b"9c"
    } else {
        b"9b"
    };
    assert!(first.claim(id, REFUSAL).expect("files"));
    if matches!(first_does, First::ClaimsAndReleases) {
        first.release(id).expect("files");
    }
    let mut second = early.unwrap_or_else(|| open(listen));
    second.claim(b"9b", REFUSAL).expect("files")
}

/// Of two processes that claim an id at the same time, only the one whose line is first admits it, and the refused claim of
/// the other one leaves nothing behind.
#[test]
fn first_of_two_simultaneous_claims_wins() {
    let listen = listen();
    let (mut first, mut second) = (open(listen), open(listen));
    let claim = Change::Claimed(REFUSAL);
    first.append(b"9b", claim).expect("files");
    second.append(b"9b", claim).expect("files");
    let now = Instant::now();
    assert!(first.read_appended(Some(b"9b"), now).expect("files"));
    assert!(!second.read_appended(Some(b"9b"), now).expect("files"));
}

#[test]
fn claim_is_known_in_later_periods_and_old_files_are_deleted() {
    let listen = listen();
    let (mut first, mut second) = (open(listen), open(listen));
    let period = current_period() + 1;
    assert!(first.claim_in(period, b"9b", REFUSAL).expect("files"));
    assert!(second.claim_in(period, b"9c", REFUSAL).expect("files"));
    let later = period + KEPT_PERIODS + 1;
    assert!(!second.claim_in(later, b"9b", REFUSAL).expect("files"));
    assert!(!second.path(period).exists() && second.path(later).exists());
}

/// Guards against files that fill the memory: they count against the limit.
#[test]
fn file_does_not_grow_beyond_its_maximum() {
    let mut shared = open(listen());
    let full = (0..MAX_FILE_BYTES).find_map(|number| {
        shared
            .claim(format!("{number:016x}").as_bytes(), REFUSAL)
            .err()
    });
    assert!(matches!(full, Some(SharedIdsError::Full)));
    assert!(
        shared
            .files
            .iter()
            .all(|file| file.read_bytes < 2 * MAX_FILE_BYTES)
    );
}

/// Guards against missing what the other process has claimed in a period in which this one claimed nothing.
#[test]
fn claim_of_a_period_without_an_own_claim_is_known() {
    let listen = listen();
    let (mut first, mut second) = (open(listen), open(listen));
    let period = current_period() + 1;
    assert!(first.claim_in(period, b"9b", REFUSAL).expect("files"));
    assert!(!second.claim_in(period + 1, b"9b", REFUSAL).expect("files"));
}
