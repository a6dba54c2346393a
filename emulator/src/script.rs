//! What happens in a world, and to whom.

use serde::Deserialize;

use crate::span::Span;
use crate::world::World;

/// One line of the script.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Happening {
    /// When, from the beginning.
    pub at: Span,
    /// For how long; then it is undone. 0 for good.
    #[serde(default, rename = "for")]
    pub lasts: Span,
    /// Again after this; 0 for once.
    #[serde(default)]
    pub every: Span,
    /// How often in all, where it comes again.
    #[serde(default)]
    pub times: u32,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Callers ask this many times as often.
    Load {
        /// The factor.
        by: f64,
        /// Which; all where there is no name.
        #[serde(default)]
        callers: String,
    },
    /// Nodes take this many times as long.
    Slow {
        /// Which.
        nodes: Whom,
        /// The factor.
        by: f64,
    },
    /// Nodes die; undone, they start again, cold.
    Down {
        /// Which.
        nodes: Whom,
    },
    /// Nodes drain, stop and start again, cold, one after another within the span.
    Roll {
        /// Which.
        nodes: Whom,
        /// From the first to the last.
        #[serde(default)]
        over: Span,
    },
    /// Nodes are told to be draining, and go.
    Drain {
        /// Which.
        nodes: Whom,
    },
    /// Nodes stand still, and go on where they were.
    Pause {
        /// Which.
        nodes: Whom,
    },
    /// Nodes answer with an error at once.
    Fail {
        /// Which.
        nodes: Whom,
        /// Part of the requests.
        #[serde(default = "all")]
        part: f64,
    },
    /// Nodes take requests and never answer.
    Hang {
        /// Which.
        nodes: Whom,
    },
    /// Nodes answer at once, well, and with nothing in it.
    Empty {
        /// Which.
        nodes: Whom,
    },
    /// Nothing passes from one zone to another.
    Cut {
        /// From here.
        from: u32,
        /// To there.
        to: u32,
        /// Nor back.
        #[serde(default)]
        both: bool,
    },
    /// Every way takes this many times as long.
    Far {
        /// The factor.
        by: f64,
    },
    /// This part of messages is lost.
    Loss {
        /// The part.
        part: f64,
    },
    /// The registry tells nothing.
    Silent,
    /// The registry tells everything so much later.
    Behind {
        /// How much.
        by: Span,
    },
    /// Balancers die with all that they hold, and start again with nothing known.
    Restart {
        /// Which.
        balancers: Whom,
        /// How long they are away.
        #[serde(default)]
        away: Span,
        /// From the first to the last.
        #[serde(default)]
        over: Span,
    },
}

fn all() -> f64 {
    1.0
}

/// Some of the nodes or balancers: `"all"`, `"3"` of them drawn at random, `"10%"`, `"zone 1"` or `"number 7"`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    /// Every one.
    All,
    /// So many, drawn at random.
    Some(u32),
    /// This part of them, drawn at random; one at the least.
    Part(f64),
    /// Those of a zone.
    Zone(u32),
    /// The one with this number.
    Number(u32),
}

impl Whom {
    /// Reads it.
    pub fn parse(text: &str) -> Result<Whom, String> {
        let wrong =
            || format!("found {text:?}, expected \"all\", \"3\", \"10%\", \"zone 1\" or \"number 7\"");
        let number = |text: &str| text.trim().parse::<u32>().map_err(|_| wrong());
        if text == "all" {
            Ok(Whom::All)
        } else if let Some(part) = text.strip_suffix('%') {
            let part: f64 = part.trim().parse().map_err(|_| wrong())?;
            if (0.0..=100.0).contains(&part) { Ok(Whom::Part(part / 100.0)) } else { Err(wrong()) }
        } else if let Some(zone) = text.strip_prefix("zone ") {
            number(zone).map(Whom::Zone)
        } else if let Some(at) = text.strip_prefix("number ") {
            number(at).map(Whom::Number)
        } else {
            number(text).map(Whom::Some)
        }
    }
}

impl<'de> Deserialize<'de> for Whom {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Whom, D::Error> {
        let text = String::deserialize(from)?;
        Whom::parse(&text).map_err(serde::de::Error::custom)
    }
}

impl What {
    /// The nodes that it takes.
    pub fn nodes(&self) -> Option<Whom> {
        match self {
            What::Slow { nodes, .. }
            | What::Down { nodes }
            | What::Roll { nodes, .. }
            | What::Drain { nodes }
            | What::Pause { nodes }
            | What::Fail { nodes, .. }
            | What::Hang { nodes }
            | What::Empty { nodes } => Some(*nodes),
            _ => None,
        }
    }
}

impl Happening {
    /// Why it cannot happen in a world.
    pub fn check(&self, world: &World) -> Result<(), String> {
        let told = |why: String| Err(format!("event at {}: {why}", self.at));
        let factor = |by: f64| by.is_finite() && (0.0..=1e4).contains(&by);
        let part = |part: f64| (0.0..=1.0).contains(&part);
        if self.every.0 > 0 && self.times == 0 {
            return told("times: found 0 with every, expected how often".to_owned());
        }
        let whom = |whom: &Whom, count: u32| match whom {
            Whom::Zone(zone) if *zone >= world.zones => {
                Err(format!("zone {zone}: there are {}", world.zones))
            }
            Whom::Number(n) if *n >= count => Err(format!("number {n}: there are {count}")),
            Whom::Some(n) if *n > count => Err(format!("{n}: there are {count}")),
            _ => Ok(()),
        };
        let fits = match &self.what {
            What::Load { callers, .. }
                if !callers.is_empty() && !world.callers.iter().any(|c| c.title() == callers) =>
            {
                Err(format!("callers: found {callers:?}, which are none"))
            }
            What::Load { by, .. } | What::Far { by } if !factor(*by) => {
                Err(format!("by: found {by}, expected 0 to 10000"))
            }
            What::Slow { by, .. } if !factor(*by) || *by <= 0.0 => {
                Err(format!("by: found {by}, expected more than 0, to 10000"))
            }
            What::Fail { part: p, .. } | What::Loss { part: p } if !part(*p) => {
                Err(format!("part: found {p}, expected 0 to 1"))
            }
            What::Cut { from, to, .. } if *from >= world.zones || *to >= world.zones => {
                Err(format!("zones {from} and {to}: there are {}", world.zones))
            }
            What::Restart { balancers, .. } => whom(balancers, world.balancers.count),
            what => what.nodes().map_or(Ok(()), |nodes| whom(&nodes, world.nodes.count)),
        };
        fits.or_else(told)
    }

    /// In a few words, for reports.
    pub fn title(&self) -> String {
        let whom = |w: &Whom| match w {
            Whom::All => "all".to_owned(),
            Whom::Some(n) => n.to_string(),
            Whom::Part(p) => format!("{}%", (p * 1000.0).round() / 10.0),
            Whom::Zone(z) => format!("zone {z}"),
            Whom::Number(n) => format!("number {n}"),
        };
        match &self.what {
            What::Load { by, callers } if callers.is_empty() => format!("load x{by}"),
            What::Load { by, callers } => format!("{callers} x{by}"),
            What::Slow { nodes, by } => format!("{} slow x{by}", whom(nodes)),
            What::Down { nodes } => format!("{} down", whom(nodes)),
            What::Roll { nodes, .. } => format!("{} rolled", whom(nodes)),
            What::Drain { nodes } => format!("{} drained", whom(nodes)),
            What::Pause { nodes } => format!("{} paused", whom(nodes)),
            What::Fail { nodes, .. } => format!("{} failing", whom(nodes)),
            What::Hang { nodes } => format!("{} hanging", whom(nodes)),
            What::Empty { nodes } => format!("{} empty", whom(nodes)),
            What::Cut { from, to, both } => {
                format!("zone {from} cut {} {to}", if *both { "from" } else { "to" })
            }
            What::Far { by } => format!("ways x{by}"),
            What::Loss { part } => format!("{}% lost", part * 100.0),
            What::Silent => "registry silent".to_owned(),
            What::Behind { by } => format!("registry {by} behind"),
            What::Restart { balancers, .. } => format!("balancers {} restarted", whom(balancers)),
        }
    }
}
