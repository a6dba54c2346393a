//! Connects finchshift to the lbsim simulator: reads its messages from standard input and writes replies to standard
//! output.

mod host;
mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("finchshift-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends. An error names the input line that caused it.
fn run(input: impl io::Read, output: impl Write) -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, input);
    let mut output = BufWriter::with_capacity(1 << 20, output);
    let mut host = host::Host::default();
    let mut reply = Vec::new();
    let mut line = Vec::new();
    let mut number = 0_u64;
    loop {
        line.clear();
        number += 1;
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            return if host.in_batch() {
                Err(format!("line {number}: input ends inside a batch"))
            } else {
                Ok(())
            };
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let message = serde_json::from_slice(&line).map_err(|e| format!("line {number}: {e}"))?;
        let done = host.handle_message(message, &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        if done {
            output
                .write_all(&reply)
                .and_then(|()| output.flush())
                .map_err(|e| format!("writing the reply: {e}"))?;
            reply.clear();
        }
    }
}
