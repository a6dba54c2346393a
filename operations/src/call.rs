//! The operators' calls: method and path.

use percent_encoding::percent_decode_str;

use crate::orders::Order;

/// Longest identity of an upstream, in bytes.
const MOST_ID: usize = 256;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Whether this process takes clients.
    Status,
    /// An order.
    Order(Order),
}

/// Why a call is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoCall {
    /// There is nothing at this path.
    Path,
    /// The path has another method, this one.
    Method(&'static str),
    /// The identity cannot be read.
    Id,
}

/// Reads a call; a query is no part of any.
pub fn parse(method: &str, path: &str) -> Result<Call, NoCall> {
    let needs = |wanted: &'static str, call: Call| {
        if method == wanted { Ok(call) } else { Err(NoCall::Method(wanted)) }
    };
    let id = |text: &str| {
        let id = percent_decode_str(text).decode_utf8().map_err(|_| NoCall::Id)?;
        let good = !id.is_empty() && id.len() <= MOST_ID && !id.chars().any(char::is_control);
        if good { Ok(id.into_owned()) } else { Err(NoCall::Id) }
    };
    match path {
        "/status" => needs("GET", Call::Status),
        "/standby" => needs("PUT", Call::Order(Order::Standby)),
        "/active" => needs("PUT", Call::Order(Order::Active)),
        _ => {
            let (of, text): (fn(String) -> Order, _) =
                match (path.strip_prefix("/maintenance/enter/"), path.strip_prefix("/maintenance/exit/")) {
                    (Some(text), _) => (Order::TakeOut, text),
                    (_, Some(text)) => (Order::PutBack, text),
                    _ => return Err(NoCall::Path),
                };
            if text.contains('/') {
                return Err(NoCall::Path);
            }
            needs("PUT", Call::Order(of(id(text)?)))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_and_what_is_none_is_told_apart() {
        let out = |id: &str| Ok(Call::Order(Order::TakeOut(id.to_owned())));
        for (method, path, call) in [
            ("GET", "/status", Ok(Call::Status)),
            ("PUT", "/status", Err(NoCall::Method("GET"))),
            ("PUT", "/standby", Ok(Call::Order(Order::Standby))),
            ("POST", "/standby", Err(NoCall::Method("PUT"))),
            ("PUT", "/active", Ok(Call::Order(Order::Active))),
            ("PUT", "/maintenance/enter/s-5be2a07c", out("s-5be2a07c")),
            ("PUT", "/maintenance/enter/10.0.0.1%3A80", out("10.0.0.1:80")),
            ("PUT", "/maintenance/exit/s-1", Ok(Call::Order(Order::PutBack("s-1".to_owned())))),
            ("GET", "/maintenance/exit/s-1", Err(NoCall::Method("PUT"))),
            ("PUT", "/maintenance/enter/", Err(NoCall::Id)),
            ("PUT", "/maintenance/enter/%ff", Err(NoCall::Id)),
            ("PUT", "/maintenance/enter/a%0Ab", Err(NoCall::Id)),
            ("PUT", "/maintenance/enter/a/b", Err(NoCall::Path)),
            ("PUT", "/maintenance", Err(NoCall::Path)),
            ("GET", "/", Err(NoCall::Path)),
        ] {
            assert_eq!(parse(method, path), call, "{method} {path}");
        }
        assert_eq!(parse("PUT", &format!("/maintenance/enter/{}", "a".repeat(257))), Err(NoCall::Id));
    }

    #[test]
    fn whatever_comes_is_a_call_or_none_and_identities_are_bounded() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let parts = [
            "/",
            "maintenance",
            "enter",
            "exit",
            "standby",
            "status",
            "%",
            "%2F",
            "%00",
            "%e2%82",
            "a",
            "\u{e9}",
        ];
        let mut taken = 0;
        for _ in 0..20_000 {
            let mut path = ["", "/maintenance/enter/", "/maintenance/exit/"][rng.usize(0..3)].to_owned();
            for _ in 0..rng.usize(0..6) {
                path += parts[rng.usize(0..parts.len())];
            }
            let method = ["GET", "PUT", ""][rng.usize(0..3)];
            if let Ok(Call::Order(Order::TakeOut(id) | Order::PutBack(id))) = parse(method, &path) {
                assert!(method == "PUT" && !id.is_empty() && id.len() <= MOST_ID, "{path:?}");
                assert!(!id.chars().any(char::is_control), "{path:?}");
                taken += 1;
            }
        }
        assert!(taken > 1000, "{taken}");
    }
}
