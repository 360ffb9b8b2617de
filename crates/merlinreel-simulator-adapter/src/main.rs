//! The bench's adapter: batches on standard input, one reply for each on standard output.

mod host;

use std::io::{self, BufRead, Write};

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    let mut bytes = Vec::new();
    let mut number = 0u64;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        number += 1;
        let text = String::from_utf8_lossy(&bytes);
        let line = text.trim_end_matches(['\n', '\r']);
        match host.line(line) {
            Ok(Some(reply)) => {
                output.write_all(reply.as_bytes())?;
                output.flush()?;
            }
            Ok(None) => {}
            Err(what) => eprintln!("line {number}: {what}"),
        }
    }
}
