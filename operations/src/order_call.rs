//! Parses operators' calls, which consist of a method and a path.

use percent_encoding::percent_decode_str;

use crate::orders::Order;

/// Maximum length of an upstream's id in bytes.
const MAX_ID_BYTES: usize = 256;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Asks whether this process accepts clients.
    Status,
    /// Gives an order.
    Order(Order),
}

/// Why a request is not a valid call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ParseError {
    /// There is no such path.
    UnknownPath,
    /// The path requires this method.
    WrongMethod(&'static str),
    /// The upstream's id is empty, too long, or not valid text.
    InvalidId,
}

/// Parses a call. `path` must not contain a query.
pub fn parse(method: &str, path: &str) -> Result<Call, ParseError> {
    let needs = |wanted: &'static str, call: Call| {
        if method == wanted { Ok(call) } else { Err(ParseError::WrongMethod(wanted)) }
    };
    let id = |text: &str| {
        let id = percent_decode_str(text).decode_utf8().map_err(|_| ParseError::InvalidId)?;
        let good = !id.is_empty() && id.len() <= MAX_ID_BYTES && !id.chars().any(char::is_control);
        if good { Ok(id.into_owned()) } else { Err(ParseError::InvalidId) }
    };
    match path {
        "/status" => needs("GET", Call::Status),
        "/standby" => needs("PUT", Call::Order(Order::Standby)),
        "/active" => needs("PUT", Call::Order(Order::Active)),
        _ => {
            let (of, text): (fn(String) -> Order, _) =
                match (path.strip_prefix("/maintenance/enter/"), path.strip_prefix("/maintenance/exit/")) {
                    (Some(text), _) => (Order::EnterMaintenance, text),
                    (_, Some(text)) => (Order::ExitMaintenance, text),
                    _ => return Err(ParseError::UnknownPath),
                };
            if text.contains('/') {
                return Err(ParseError::UnknownPath);
            }
            needs("PUT", Call::Order(of(id(text)?)))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_parsed_and_errors_are_distinguished() {
        let out = |id: &str| Ok(Call::Order(Order::EnterMaintenance(id.to_owned())));
        for (method, path, call) in [
            ("GET", "/status", Ok(Call::Status)),
            ("PUT", "/status", Err(ParseError::WrongMethod("GET"))),
            ("PUT", "/standby", Ok(Call::Order(Order::Standby))),
            ("POST", "/standby", Err(ParseError::WrongMethod("PUT"))),
            ("PUT", "/active", Ok(Call::Order(Order::Active))),
            ("PUT", "/maintenance/enter/s-5be2a07c", out("s-5be2a07c")),
            ("PUT", "/maintenance/enter/10.0.0.1%3A80", out("10.0.0.1:80")),
            ("PUT", "/maintenance/exit/s-1", Ok(Call::Order(Order::ExitMaintenance("s-1".to_owned())))),
            ("GET", "/maintenance/exit/s-1", Err(ParseError::WrongMethod("PUT"))),
            ("PUT", "/maintenance/enter/", Err(ParseError::InvalidId)),
            ("PUT", "/maintenance/enter/%ff", Err(ParseError::InvalidId)),
            ("PUT", "/maintenance/enter/a%0Ab", Err(ParseError::InvalidId)),
            ("PUT", "/maintenance/enter/a/b", Err(ParseError::UnknownPath)),
            ("PUT", "/maintenance", Err(ParseError::UnknownPath)),
            ("GET", "/", Err(ParseError::UnknownPath)),
        ] {
            assert_eq!(parse(method, path), call, "{method} {path}");
        }
        assert_eq!(
            parse("PUT", &format!("/maintenance/enter/{}", "a".repeat(257))),
            Err(ParseError::InvalidId)
        );
    }

    #[test]
    fn any_input_is_parsed_or_rejected_and_ids_are_bounded() {
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
            if let Ok(Call::Order(Order::EnterMaintenance(id) | Order::ExitMaintenance(id))) =
                parse(method, &path)
            {
                assert!(method == "PUT" && !id.is_empty() && id.len() <= MAX_ID_BYTES, "{path:?}");
                assert!(!id.chars().any(char::is_control), "{path:?}");
                taken += 1;
            }
        }
        assert!(taken > 1000, "{taken}");
    }
}
