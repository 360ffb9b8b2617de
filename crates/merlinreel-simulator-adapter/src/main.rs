//! Runs limiters inside the simulator.
//!
//! The simulator writes lines to standard input. A batch of lines holds messages for any number of limiters and ends with a
//! request for their actions; the reply to the batch goes to standard output. A line that cannot be used is reported on
//! standard error and skipped. The names on the wire appear only in the module `protocol`.

#![warn(missing_docs)]

mod actions;
mod encoding;
mod endpoint_lists;
mod error;
mod events;
mod host;
mod instance;
mod name_table;
mod protocol;
mod request_table;
mod values;

use host::Host;
use std::io::{self, BufRead, Write};

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut bytes = Vec::new();
    let mut line_number = 0u64;
    loop {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        line_number += 1;
        let text = String::from_utf8_lossy(&bytes);
        let line = text.trim_end_matches(['\n', '\r']);
        match host.handle_line(line) {
            Ok(Some(reply)) => {
                output.write_all(reply.as_bytes())?;
                output.flush()?;
            }
            Ok(None) => {}
            Err(error) => eprintln!("line {line_number}: {error}"),
        }
    }
}
