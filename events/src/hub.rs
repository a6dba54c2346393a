//! Where events go: a line each on standard error, the latest of them kept, and whoever follows.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};
use tokio::sync::mpsc;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

use crate::filter::{EventFilter, Levels};
use crate::limit::{Limiter, Rate, Verdict};

/// Events that are kept.
const KEPT: usize = 512;
/// Events that wait for one who follows.
const WAITING: usize = 256;
/// Those who follow at once; the first makes room.
const MOST_TAILS: usize = 16;
/// Longest text or field, in bytes. Guards lines against what comes from outside.
const MOST_TEXT: usize = 2048;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LineFormat {
    /// For people.
    #[default]
    Text,
    /// An object a line.
    Json,
}

/// What a configuration says of logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How lines are written.
    pub format: LineFormat,
    /// What is heard.
    pub levels: Levels,
    /// How often.
    pub rate: Rate,
}

/// An event that was told.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Microseconds of Unix time.
    pub time: u64,
    /// How grave.
    pub level: Level,
    /// Where.
    pub area: &'static str,
    /// Its name; empty for what other libraries tell.
    pub event: String,
    /// In words.
    pub text: String,
    /// Its fields.
    pub fields: Vec<(&'static str, String)>,
    /// So many like it were not told since the last.
    pub dropped: u64,
}

impl Record {
    /// As an object.
    pub fn json(&self) -> Value {
        let mut of = Map::new();
        of.insert("time".to_owned(), self.time.into());
        of.insert("level".to_owned(), self.level.as_str().to_ascii_lowercase().into());
        of.insert("area".to_owned(), self.area.into());
        of.insert("event".to_owned(), self.event.as_str().into());
        of.insert("text".to_owned(), self.text.as_str().into());
        for (name, value) in &self.fields {
            of.insert((*name).to_owned(), value.as_str().into());
        }
        if self.dropped > 0 {
            of.insert("dropped".to_owned(), self.dropped.into());
        }
        Value::Object(of)
    }

    fn line(&self, format: LineFormat) -> String {
        match format {
            LineFormat::Json => self.json().to_string() + "\n",
            LineFormat::Text if self.dropped > 0 => format!("{} (and {} like it)\n", self.text, self.dropped),
            LineFormat::Text => format!("{}\n", self.text),
        }
    }
}

/// Reads an event's fields.
#[derive(Default)]
struct Fields {
    event: String,
    text: String,
    rest: Vec<(&'static str, String)>,
}

impl Fields {
    fn take(&mut self, field: &Field, mut value: String) {
        if value.len() > MOST_TEXT {
            let end = (0..=MOST_TEXT).rev().find(|at| value.is_char_boundary(*at)).unwrap_or(0);
            value.truncate(end);
        }
        // One event is one line, whatever is in it.
        if value.contains(['\n', '\r']) {
            value = value.replace(['\n', '\r'], " | ");
        }
        match field.name() {
            "event" => self.event = value,
            "message" => self.text = value,
            name => self.rest.push((name, value)),
        }
    }
}

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.take(field, value.to_owned());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.take(field, format!("{value:?}"));
    }
}

struct Tail {
    wanted: EventFilter,
    to: mpsc::Sender<Arc<Record>>,
}

#[derive(Default)]
struct Inner {
    limiter: Limiter,
    kept: VecDeque<Arc<Record>>,
    tails: VecDeque<Tail>,
}

/// Where events go.
pub struct Hub {
    settings: RwLock<Settings>,
    inner: Mutex<Inner>,
    began: Instant,
    out: Box<dyn Fn(&str) + Send + Sync>,
}

static HUB: OnceLock<Arc<Hub>> = OnceLock::new();

/// The process's hub, once it is there.
pub fn hub() -> Option<&'static Arc<Hub>> {
    HUB.get()
}

/// Makes the process's hub, and makes events go there; the same one if it is there already.
pub fn install(settings: Settings) -> Arc<Hub> {
    let hub = HUB.get_or_init(|| {
        let hub = Hub::new(settings.clone(), |line| {
            // There is nobody to tell where it can't be written.
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        });
        let subscriber = tracing_subscriber::registry().with(Listening(hub.clone()));
        // Fails where another part of the process listens already; then that is who hears.
        let _ = tracing::subscriber::set_global_default(subscriber);
        hub
    });
    hub.set(settings);
    hub.clone()
}

impl Hub {
    /// One whose lines go to a function.
    pub fn new(settings: Settings, out: impl Fn(&str) + Send + Sync + 'static) -> Arc<Hub> {
        let mut inner = Inner::default();
        inner.limiter.set(settings.rate);
        let (settings, inner) = (RwLock::new(settings), Mutex::new(inner));
        Arc::new(Hub { settings, inner, began: Instant::now(), out: Box::new(out) })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        // What panicked while it was held was a line; the rest goes on.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Other settings from now on.
    pub fn set(&self, settings: Settings) {
        self.inner().limiter.set(settings.rate);
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = settings;
        tracing::callsite::rebuild_interest_cache();
    }

    fn settings<T>(&self, look: impl FnOnce(&Settings) -> T) -> T {
        look(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The latest events that are wanted, the latest last, at most so many.
    pub fn recent(&self, wanted: &EventFilter, most: usize) -> Vec<Arc<Record>> {
        let inner = self.inner();
        let mut found: Vec<Arc<Record>> =
            inner.kept.iter().rev().filter(|record| wanted.matches(record)).take(most).cloned().collect();
        found.reverse();
        found
    }

    /// Follows what is wanted from now on. One who does not take what comes misses it.
    pub fn subscribe(&self, wanted: EventFilter) -> mpsc::Receiver<Arc<Record>> {
        let (to, from) = mpsc::channel(WAITING);
        let mut inner = self.inner();
        inner.tails.retain(|tail| !tail.to.is_closed());
        if inner.tails.len() >= MOST_TAILS {
            inner.tails.pop_front();
        }
        inner.tails.push_back(Tail { wanted, to });
        from
    }

    /// Tells what was dropped and that nothing has followed.
    pub fn flush_dropped(&self) {
        let now = self.began.elapsed().as_micros() as u64;
        let dropped = self.inner().limiter.sweep(now);
        for dropped in dropped {
            let text = format!("{}: {} more like it were not told", dropped.event, dropped.count);
            let (event, fields) = (dropped.event.to_owned(), Vec::new());
            self.told(Record {
                time: unix(),
                level: Level::INFO,
                area: "events",
                event,
                text,
                fields,
                dropped: 0,
            });
        }
    }

    fn told(&self, record: Record) {
        let line = record.line(self.settings(|s| s.format));
        let record = Arc::new(record);
        let mut inner = self.inner();
        if inner.kept.len() == KEPT {
            inner.kept.pop_front();
        }
        inner.kept.push_back(record.clone());
        inner.tails.retain(|tail| {
            !tail.wanted.matches(&record)
                || !matches!(tail.to.try_send(record.clone()), Err(mpsc::error::TrySendError::Closed(_)))
        });
        drop(inner);
        (self.out)(&line);
    }

    fn event(&self, event: &Event<'_>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let known = crate::events::ALL.iter().find(|known| known.name == fields.event);
        // What other libraries tell is limited by where it comes from.
        let name = known.map_or(event.metadata().target(), |known| known.name);
        let about = fields.rest.first().map_or("", |(_, value)| value.as_str());
        let now = self.began.elapsed().as_micros() as u64;
        let limited = known.is_none_or(|known| known.limited());
        let verdict = if limited { self.inner().limiter.admit(now, name, about) } else { Verdict::Tell(0) };
        let Verdict::Tell(dropped) = verdict else { return };
        self.told(Record {
            time: unix(),
            level: *event.metadata().level(),
            area: event.metadata().target(),
            event: fields.event,
            text: fields.text,
            fields: fields.rest,
            dropped,
        });
    }
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// A hub as a layer of `tracing`.
pub struct Listening(pub Arc<Hub>);

impl<S: Subscriber> Layer<S> for Listening {
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        self.0.settings(|settings| settings.levels.hear(metadata.target(), *metadata.level()))
    }

    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        self.0.event(event);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::emit;

    fn listened(settings: Settings, told: impl FnOnce(&Hub)) -> Vec<String> {
        let lines = Arc::new(Mutex::new(Vec::new()));
        let into = lines.clone();
        let hub = Hub::new(settings, move |line: &str| into.lock().expect("whole").push(line.to_owned()));
        let subscriber = tracing_subscriber::registry().with(Listening(hub.clone()));
        tracing::subscriber::with_default(subscriber, || told(&hub));
        std::mem::take(&mut *lines.lock().expect("whole"))
    }

    #[test]
    fn events_are_lines_and_objects_and_reach_those_who_follow() {
        let tell = |_: &Hub| {
            emit!(ORDER_GIVEN, who = %"anna", thing = %"n7"; "ordered: {} out in p", "n7\nx");
            emit!(CONFIG_RELOADED; "configuration read again");
        };
        assert_eq!(
            listened(Settings::default(), tell),
            ["ordered: n7 | x out in p\n", "configuration read again\n"]
        );
        let json = listened(Settings { format: LineFormat::Json, ..Settings::default() }, tell);
        let first: Value = serde_json::from_str(&json[0]).expect("JSON");
        let fields =
            ["level", "area", "event", "who", "thing"].map(|name| first[name].as_str().unwrap_or(""));
        assert_eq!(fields, ["info", "orders", "order.given", "anna", "n7"]);
        let lines = listened(Settings::default(), |hub| {
            let wanted = EventFilter { event: Some("order.".to_owned()), ..EventFilter::default() };
            let mut follows = hub.subscribe(wanted.clone());
            tell(hub);
            assert_eq!(follows.try_recv().expect("it is told").event, "order.given");
            assert!(follows.try_recv().is_err(), "the other is not wanted");
            assert_eq!(hub.recent(&wanted, 10).len(), 1);
            assert_eq!(hub.recent(&EventFilter::default(), 1)[0].event, "config.read");
            for wanted in [
                EventFilter { level: Some("warn".to_owned()), ..EventFilter::default() },
                EventFilter { area: Some("order".to_owned()), ..EventFilter::default() },
                EventFilter { text: Some("n8".to_owned()), ..EventFilter::default() },
            ] {
                assert!(hub.recent(&wanted, 10).is_empty(), "{wanted:?}");
            }
            assert!(
                EventFilter { level: Some("loud".to_owned()), ..EventFilter::default() }.validate().is_err()
            );
            // Nobody is waited for: whoever takes nothing misses what comes, and a thousand who follow are sixteen.
            let followers: Vec<_> = (0..1000).map(|_| hub.subscribe(EventFilter::default())).collect();
            for n in 0..2 * WAITING {
                emit!(ORDER_GIVEN, who = %n, thing = %n; "ordered: {n}");
            }
            let open = followers.iter().filter(|follower| follower.len() == WAITING).count();
            assert_eq!(open, MOST_TAILS);
        });
        assert_eq!(lines.len(), 2 + 2 * WAITING);
    }

    #[test]
    fn levels_and_rates_hold_and_change_while_it_runs() {
        let rate = Rate { burst: 3.0, per_second: 0.001 };
        let quiet = Settings {
            levels: Levels { default_level: Level::ERROR, ..Levels::default() },
            ..Settings::default()
        };
        let lines = listened(Settings { rate, ..Settings::default() }, |hub| {
            for _ in 0..10 {
                emit!(DISCOVERY_ADDRESS_INVALID, node = %"n7"; "out");
            }
            // What operators do is told each time.
            (0..5).for_each(|_| emit!(CONFIG_RELOADED; "read"));
            emit!(DISCOVERY_ADDRESS_INVALID, node = %"n8"; "another");
            hub.set(quiet.clone());
            emit!(DISCOVERY_ADDRESS_INVALID, node = %"n9"; "not heard");
            emit!(DEFECT, what = %"x"; "defect: x");
        });
        assert_eq!(
            lines,
            ["out", "out", "out", "read", "read", "read", "read", "read", "another", "defect: x"]
                .map(|l| format!("{l}\n"))
        );
    }
}
