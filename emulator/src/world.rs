//! What is emulated, as an experiment describes it. Read from TOML; every field has its unit and range, and what is out
//! of range is told by the name of its field.

use finchshift as fs;
use serde::Deserialize;

use crate::script::Happening;
use crate::span::Span;
use crate::streams::Spread;

/// A world: who asks, who balances, who serves, what lies between, and what happens when.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct World {
    /// How long callers ask; what is open then is played to its end.
    pub length: Span,
    /// What arrives before this is not counted: the world fills up.
    #[serde(default)]
    pub warm_up: Span,
    /// Zones, over which balancers and nodes are dealt in turn.
    #[serde(default = "one")]
    pub zones: u32,
    /// The balancers.
    pub balancers: Balancers,
    /// The nodes.
    pub nodes: Nodes,
    /// What lies between.
    #[serde(default)]
    pub network: Network,
    /// Where balancers hear of nodes.
    #[serde(default)]
    pub registry: Registry,
    /// The rules on drains and cold nodes.
    #[serde(default)]
    pub rules: Rules,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Who asks.
    #[serde(rename = "callers")]
    pub callers: Vec<Callers>,
    /// What happens.
    #[serde(default, rename = "event")]
    pub events: Vec<Happening>,
}

fn one() -> u32 {
    1
}

/// The balancers: all alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Balancers {
    /// How many.
    pub count: u32,
    /// Processor time for each event that one handles; 0 for none. They handle one at a time.
    pub processor: Span,
    /// Their clocks differ by up to this.
    pub skew: Span,
    /// Attempts for a request.
    pub attempts: u32,
}

impl Default for Balancers {
    fn default() -> Balancers {
        Balancers { count: 1, processor: Span(0), skew: Span(0), attempts: 4 }
    }
}

/// The nodes: alike but for their speed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Nodes {
    /// How many.
    pub count: u32,
    /// Requests that one works on at once.
    pub cores: u32,
    /// Requests that wait beyond that; more are turned away unseen.
    pub queue: u32,
    /// Sigma of the logarithm of their speeds.
    pub spread: f64,
    /// A node that starts has this part of its speed ...
    pub cold: f64,
    /// ... and all of it after this, growing evenly.
    pub warm: Span,
    /// Holding more than this many for each core, a node slows down; 0 for never.
    pub crowded: f64,
    /// The least part of its speed that a crowded node keeps.
    pub collapsed: f64,
    /// Nodes in a cell drop each other's repeats; 0 puts all into one.
    pub cell: u32,
    /// Connections that one takes; 0 for any number.
    pub connections: u32,
    /// Work whose caller has left stops.
    pub stops: bool,
    /// How long a node that stops by itself is told to be draining before it goes.
    pub drain: Span,
}

impl Default for Nodes {
    fn default() -> Nodes {
        Nodes {
            count: 1,
            cores: 4,
            queue: 32,
            spread: 0.0,
            cold: 0.2,
            warm: Span(20_000_000),
            crowded: 0.0,
            collapsed: 0.4,
            cell: 0,
            connections: 0,
            stops: false,
            drain: Span(4_000_000),
        }
    }
}

/// The network.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Network {
    /// One way within a zone.
    pub near: Span,
    /// One way between zones.
    pub far: Span,
    /// Between callers and balancers.
    pub callers: Span,
    /// Sigma of the logarithm of a way's time.
    pub jitter: f64,
    /// Part of messages that are lost and sent again after `resend`.
    pub loss: f64,
    /// When a lost message is sent again; each further loss doubles it.
    pub resend: Span,
    /// Part of attempts whose connection breaks under them.
    pub broken: f64,
    /// A connection that has been idle for so long is closed.
    pub idle: Span,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            near: Span(250),
            far: Span(1_000),
            callers: Span(250),
            jitter: 0.2,
            loss: 0.0,
            resend: Span(200_000),
            broken: 0.0,
            idle: Span(4_000_000),
        }
    }
}

/// Where balancers hear of nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Registry {
    /// A change is told so long after it ...
    pub lag: Span,
    /// ... and up to this much later, to each balancer at a time of its own.
    pub spread: Span,
}

impl Default for Registry {
    fn default() -> Registry {
        Registry { lag: Span(300_000), spread: Span(400_000) }
    }
}

/// The rules that are checked and told to balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Rules {
    /// Nothing new to a draining or gone node so long after the news.
    pub drain_grace: Span,
    /// A final answer may come this long after the client's time.
    pub answer_grace: Span,
    /// A cold node sent more than this multiple of its present capacity ...
    pub cold_factor: f64,
    /// ... within this span is pushed over.
    pub cold_span: Span,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace: Span(2_000_000),
            answer_grace: Span(20_000),
            cold_factor: 3.0,
            cold_span: Span(4_000_000),
        }
    }
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Anywhere.
    Safe,
    /// Within its group and window.
    Keyed,
    /// Never.
    Unsafe,
}

/// Whose nodes drop each other's repeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    /// All nodes.
    #[default]
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What may be repeated.
    pub effect: Effect,
    /// Which nodes drop repeats of a keyed one.
    #[serde(default)]
    pub group: Group,
    /// For how long they do.
    #[serde(default = "window")]
    pub window: Span,
    /// An answer within this earns the worth.
    pub aim: Span,
    /// How long a caller waits.
    pub deadline: Span,
    /// What one is worth.
    #[serde(default = "unit")]
    pub worth: f64,
    /// Mean of its work: processor time of one core at speed 1.
    pub work: Span,
    /// How the work spreads.
    #[serde(default)]
    pub spread: Spread,
}

fn window() -> Span {
    Span(60_000_000)
}

fn unit() -> f64 {
    1.0
}

/// A group of callers of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Callers {
    /// Its name; the class's where there is none.
    #[serde(default)]
    pub name: String,
    /// The name of the class.
    pub class: String,
    /// Requests a second of all together, arriving independently; or ...
    #[serde(default)]
    pub rate: f64,
    /// ... so many callers that each ask, wait for the answer and think.
    #[serde(default)]
    pub sessions: u32,
    /// Mean time between an answer and the next request of a session.
    #[serde(default)]
    pub think: Span,
    /// The rate swings by this part of it ...
    #[serde(default)]
    pub swing: f64,
    /// ... with this period.
    #[serde(default)]
    pub period: Span,
    /// How they try again.
    #[serde(default)]
    pub again: Again,
    /// How many different keys they ask for; 0 for as many as requests.
    #[serde(default)]
    pub keys: u32,
    /// How much the first keys are asked for more often (Zipf's exponent).
    #[serde(default)]
    pub skew: f64,
}

/// How callers try again what was refused or failed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Again {
    /// Tries in all; 0 and 1 for none again.
    pub tries: u32,
    /// Mean wait before the second try; doubled each time.
    pub wait: Span,
    /// Further tries that a first one pays for; 0 for no budget.
    pub budget: f64,
    /// Failed ones of unsafe classes too. Callers should not.
    pub reckless: bool,
}

impl World {
    /// Why it cannot be played, by the name of the field.
    pub fn check(&self) -> Result<(), String> {
        let whole = |field: &str, found: u32, least: u32, most: u32| {
            let fits = (least..=most).contains(&found);
            fits.then_some(()).ok_or(format!("{field}: found {found}, expected {least} to {most}"))
        };
        let part = |field: &str, found: f64, least: f64, most: f64| {
            let fits = (least..=most).contains(&found);
            fits.then_some(()).ok_or(format!("{field}: found {found}, expected {least} to {most}"))
        };
        let some = |field: &str, found: Span| {
            (found.0 > 0).then_some(()).ok_or(format!("{field}: found {found}, expected more than 0"))
        };
        some("length", self.length)?;
        if self.warm_up >= self.length {
            return Err(format!(
                "warm-up: found {}, expected less than the length, {}",
                self.warm_up, self.length
            ));
        }
        whole("zones", self.zones, 1, 64)?;
        whole("balancers.count", self.balancers.count, 1, 10_000)?;
        whole("balancers.attempts", self.balancers.attempts, 1, 16)?;
        let n = &self.nodes;
        whole("nodes.count", n.count, 1, 1 << 20)?;
        whole("nodes.cores", n.cores, 1, 1024)?;
        part("nodes.spread", n.spread, 0.0, 2.0)?;
        part("nodes.cold", n.cold, 0.01, 1.0)?;
        part("nodes.crowded", n.crowded, 0.0, 1e6)?;
        part("nodes.collapsed", n.collapsed, 0.01, 1.0)?;
        part("network.jitter", self.network.jitter, 0.0, 2.0)?;
        part("network.loss", self.network.loss, 0.0, 0.9)?;
        part("network.broken", self.network.broken, 0.0, 1.0)?;
        part("rules.cold-factor", self.rules.cold_factor, 1.0, 1e3)?;
        some("rules.cold-span", self.rules.cold_span)?;
        if self.classes.is_empty() || self.callers.is_empty() {
            return Err("found no class or no callers, expected one of each at least".to_owned());
        }
        for (at, c) in self.classes.iter().enumerate() {
            let named = |field: &str| format!("class {:?}: {field}", c.name);
            if self.classes[..at].iter().any(|other| other.name == c.name) {
                return Err(format!("class {:?}: found it twice", c.name));
            }
            some(&named("aim"), c.aim)?;
            some(&named("deadline"), c.deadline)?;
            some(&named("work"), c.work)?;
            part(&named("worth"), c.worth, 0.0, 1e9)?;
            c.spread.check().map_err(|why| named(&format!("spread: {why}")))?;
        }
        for c in &self.callers {
            let named = |field: &str| format!("callers {:?}: {field}", c.title());
            if !self.classes.iter().any(|class| class.name == c.class) {
                return Err(named(&format!("class: found {:?}, which is none", c.class)));
            }
            part(&named("rate"), c.rate, 0.0, 1e8)?;
            part(&named("swing"), c.swing, 0.0, 1.0)?;
            part(&named("skew"), c.skew, 0.0, 8.0)?;
            part(&named("again.budget"), c.again.budget, 0.0, 16.0)?;
            whole(&named("again.tries"), c.again.tries, 0, 64)?;
            whole(&named("sessions"), c.sessions, 0, 1 << 24)?;
            if c.rate > 0.0 && c.sessions > 0 || c.rate == 0.0 && c.sessions == 0 {
                return Err(named("found rate and sessions both or neither, expected one of them"));
            }
            if c.swing > 0.0 {
                some(&named("period"), c.period)?;
            }
        }
        self.events.iter().try_for_each(|e| e.check(self))
    }

    /// What one core at speed 1 can do of this mix, in requests a second; for sizing.
    pub fn demand(&self) -> f64 {
        let work = |c: &Callers| self.class(&c.class).map_or(0.0, |i| self.classes[i].work.seconds());
        self.callers.iter().map(|c| c.rate * work(c)).sum()
    }

    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// The settings of one of its balancers.
    pub fn settings(&self, me: u32) -> fs::Settings {
        let classes = self.classes.iter().map(|c| fs::Class {
            effect: match c.effect {
                Effect::Safe => fs::Effect::Safe,
                Effect::Unsafe => fs::Effect::Unsafe,
                Effect::Keyed => fs::Effect::Keyed { group: c.group.of(), window: c.window.0 },
            },
            max_runs: u32::MAX,
            latency_target: c.aim.0,
            target_per_work: 0.0,
            deadline: c.deadline.0,
            value: c.worth,
            late_value_ratio: 0.0,
            stream: false,
        });
        let mut settings = fs::Settings::new(classes.collect());
        settings.balancer_index = me;
        settings.balancers = self.balancers.count;
        settings.zone = me % self.zones;
        settings.zones = self.zones;
        settings.limits.cancel = true;
        settings.limits.retry_after = true;
        settings.limits.max_retry_after = 60_000_000;
        settings.limits.max_attempts = self.balancers.attempts;
        settings.limits.idle_close = self.network.idle.0;
        settings.rules.initial_capacity_share = self.nodes.cold;
        settings.rules.warm_up_time = self.nodes.warm.0.max(1);
        settings.rules.overload_factor = self.rules.cold_factor;
        settings.rules.overload_time = self.rules.cold_span.0;
        settings.rules.drain_grace = self.rules.drain_grace.0;
        settings.rules.answer_grace = self.rules.answer_grace.0;
        settings
    }
}

impl Group {
    fn of(self) -> fs::DedupGroup {
        match self {
            Group::All => fs::DedupGroup::All,
            Group::Zone => fs::DedupGroup::Zone,
            Group::Cell => fs::DedupGroup::Cell,
        }
    }
}

impl Callers {
    /// What reports call them.
    pub fn title(&self) -> &str {
        if self.name.is_empty() { &self.class } else { &self.name }
    }
}
