//! Measures time and memory for large descriptions. With `fuzz`, reads randomly damaged descriptions and checks that reading ends.
//!
//! `cargo bench -p sloeline-descriptions --bench size`, or with `-- fuzz SECONDS [SEED]`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sloeline_descriptions::behaviour::{Behaviour, Declared, ObservedResponse};
use sloeline_descriptions::check::{Promises, check};
use sloeline_descriptions::diff::diff;
use sloeline_descriptions::refs::{Documents, Files};

struct Memory(HashMap<String, String>);

impl Files for Memory {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or_else(|| format!("{path}: no such file"))
    }
}

/// Peak memory of this process in MiB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) / 1024
}

/// A description with `operations` operations, each with a text of `padding` bytes.
fn text(operations: usize, padding: usize) -> String {
    let mut text = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n".to_owned();
    for n in 0..operations / 2 {
        text += &format!(
            "  /area-{}/things-{n}/{{id}}:\n    parameters: [{{$ref: '#/components/parameters/id'}}]\n    get:\n      description: '{}'\n      responses: {{'200': {{$ref: '#/components/responses/s{}'}}, default: {{description: d}}}}\n    put:\n      parameters: [{{$ref: '#/components/parameters/key'}}]\n      x-sloeline-window: 30s\n      description: '{}'\n      requestBody: {{content: {{application/json: {{schema: {{$ref: '#/components/schemas/s'}}}}}}}}\n      responses: {{default: {{description: d}}}}\n",
            n % 50,
            "x".repeat(padding),
            n % 500,
            "y".repeat(padding),
        );
    }
    text += "components:\n  parameters:\n    id: {name: id, in: path, required: true}\n    key: {name: Idempotency-Key, in: header, required: true}\n  schemas: {s: {type: object}}\n  responses:\n";
    for n in 0..500 {
        text += &format!("    s{n}: {{description: d, content: {{application/json: {{}}}}}}\n");
    }
    text
}

fn read(text: &str) -> (usize, usize) {
    let files = Memory(HashMap::from([("api.yaml".to_owned(), text.to_owned())]));
    let (operations, findings) = check(&Documents::new(&files), "api.yaml", Promises::default());
    (operations.len(), findings.len())
}

fn sizes() {
    for (operations, padding) in [(100, 100), (5_000, 100), (5_000, 4_000)] {
        let text = text(operations, padding);
        let mut took: Vec<Duration> = (0..5)
            .map(|_| {
                let start = Instant::now();
                assert_eq!(read(&text), (operations, 0));
                start.elapsed()
            })
            .collect();
        took.sort_unstable();
        println!(
            "{operations} operations, {:.1} MB: {} ms (median of 5), {} MiB at the most so far",
            text.len() as f64 / 1e6,
            took[2].as_millis(),
            peak()
        );
        let files = Memory(HashMap::from([("api.yaml".to_owned(), text)]));
        let documents = Documents::new(&files);
        let (read, _) = check(&documents, "api.yaml", Promises::default());
        let start = Instant::now();
        assert_eq!(diff(&read, &read).len(), 0);
        println!("  compared with itself: {} ms", start.elapsed().as_millis());
    }
    // Templates that all overlap pairwise: same method and length, parameters in different segments.
    let wide: String = (0..2_500)
        .map(|n| format!("  /a/{{x}}/b{n}:\n    get: {{parameters: [{{name: x, in: path, required: true}}], responses: {{default: {{}}}}}}\n  /a/c{n}/{{y}}:\n    get: {{parameters: [{{name: y, in: path, required: true}}], responses: {{default: {{}}}}}}\n"))
        .collect();
    let start = Instant::now();
    let (operations, findings) = read(&format!("openapi: 3.1.0\npaths:\n{wide}"));
    println!("{operations} that all meet: {findings} findings in {} ms", start.elapsed().as_millis());
}

/// Measures the time to record a response.
fn behaviour() {
    let text = text(2, 0);
    let files = Memory(HashMap::from([("api.yaml".to_owned(), text)]));
    let (operations, _) = check(&Documents::new(&files), "api.yaml", Promises::default());
    for (operation, status) in operations.iter().zip([200, 201]) {
        for compared in [0.0, 1.0 / 16.0, 1.0] {
            let mut behaviour = Behaviour::new(Declared::of(operation, compared), 1);
            let keys: Vec<String> = (0..10_000).map(|n| format!("key-{n}")).collect();
            let start = Instant::now();
            let calls = 2_000_000_u64;
            for n in 0..calls {
                let key = &keys[n as usize % keys.len()];
                let seen = ObservedResponse {
                    key: Some(key),
                    status,
                    content_type: Some("application/json; charset=utf-8"),
                    location: Some("/things/7"),
                    took: 1,
                };
                std::hint::black_box(behaviour.record_response(n, &seen));
            }
            let each = start.elapsed().as_nanos() as f64 / calls as f64;
            println!("an answer {status} to {}, {compared} compared: {each:.0} ns", operation.method);
        }
    }
}

/// Damages a description at random, by line and by byte.
fn spoil(rng: &mut fastrand::Rng, text: &str) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    for _ in 0..rng.usize(1..6) {
        if lines.is_empty() {
            break;
        }
        let (a, b) = (rng.usize(..lines.len()), rng.usize(..lines.len()));
        match rng.u8(..6) {
            0 => lines.swap(a, b),
            1 => drop(lines.remove(a)),
            2 => lines.insert(a, lines[b].clone()),
            3 => lines[a].insert_str(0, "  "),
            4 => {
                let bytes: Vec<char> = lines[a].chars().collect();
                let at = rng.usize(..=bytes.len());
                let marks: Vec<char> = "{}[]:,'\"#&*$~!|>-%@\\\u{0}é".chars().collect();
                let c = marks[rng.usize(..marks.len())];
                lines[a] = bytes[..at].iter().chain([&c]).chain(&bytes[at..]).collect();
            }
            _ => {
                lines[a] =
                    lines[a].replace("'#/components", ["'#/paths", "'#", "'x.yaml#", "'../#"][rng.usize(..4)])
            }
        }
    }
    lines.join("\n")
}

fn fuzz(seconds: u64, seed: u64) {
    println!("SEED={seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let text = text(20, 10);
    let (start, mut runs, mut slowest) = (Instant::now(), 0_u64, Duration::ZERO);
    while start.elapsed() < Duration::from_secs(seconds) {
        let spoilt = spoil(&mut rng, &text);
        let begun = Instant::now();
        read(&spoilt);
        slowest = slowest.max(begun.elapsed());
        assert!(begun.elapsed() < Duration::from_secs(5), "run {runs} does not end:\n{spoilt}");
        runs += 1;
    }
    println!("{runs} spoilt descriptions read, the slowest in {slowest:?}");
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.iter().position(|a| a == "fuzz") {
        Some(at) => {
            let number = |at: usize| arguments.get(at).and_then(|a| a.parse().ok());
            fuzz(number(at + 1).unwrap_or(10), number(at + 2).unwrap_or_else(|| fastrand::u64(..)));
        }
        None => {
            sizes();
            behaviour();
        }
    }
}
