//! Output of events: writes each as a line to standard error, keeps the latest, and forwards events to subscribers.

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

/// Number of latest events that [`Hub::recent`] can return.
const MAX_RECENT_EVENTS: usize = 512;
/// Capacity of a subscriber's queue, in events.
const SUBSCRIBER_QUEUE_LEN: usize = 256;
/// Maximum number of subscribers; a new subscriber replaces the oldest.
const MAX_SUBSCRIBERS: usize = 16;
/// Maximum length of a text or field value, in bytes. Limits log lines that contain input from outside.
const MAX_TEXT_BYTES: usize = 2048;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LineFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Format of log lines.
    pub format: LineFormat,
    /// Levels of the events that are logged.
    pub levels: Levels,
    /// Rate limit of events.
    pub rate: Rate,
}

/// An emitted event with its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Time of the event, in microseconds of Unix time.
    pub time: u64,
    /// Severity of the event.
    pub level: Level,
    /// Area of the system that emitted the event.
    pub area: &'static str,
    /// Name of the event; empty for events of other libraries.
    pub event: String,
    /// Message text.
    pub text: String,
    /// Names and values of the fields.
    pub fields: Vec<(&'static str, String)>,
    /// Number of similar events suppressed since the last emitted one.
    pub dropped: u64,
}

impl Record {
    /// The record as a JSON object.
    pub fn json(&self) -> Value {
        let mut object = Map::new();
        object.insert("time".to_owned(), self.time.into());
        object.insert("level".to_owned(), self.level.as_str().to_ascii_lowercase().into());
        object.insert("area".to_owned(), self.area.into());
        object.insert("event".to_owned(), self.event.as_str().into());
        object.insert("text".to_owned(), self.text.as_str().into());
        for (name, value) in &self.fields {
            object.insert((*name).to_owned(), value.as_str().into());
        }
        if self.dropped > 0 {
            object.insert("dropped".to_owned(), self.dropped.into());
        }
        Value::Object(object)
    }

    /// The record as a log line, with a newline at the end.
    fn line(&self, format: LineFormat) -> String {
        match format {
            LineFormat::Json => self.json().to_string() + "\n",
            LineFormat::Text if self.dropped > 0 => {
                format!("{} ({} similar events suppressed)\n", self.text, self.dropped)
            }
            LineFormat::Text => format!("{}\n", self.text),
        }
    }
}

/// Collects the fields of a `tracing` event.
#[derive(Default)]
struct Fields {
    /// Name of the event, from the field `event`.
    event: String,
    /// Message text, from the field `message`.
    text: String,
    /// All other fields.
    rest: Vec<(&'static str, String)>,
}

impl Fields {
    /// Stores a field value, shortened to [`MAX_TEXT_BYTES`] and without line breaks.
    fn store(&mut self, field: &Field, mut value: String) {
        if value.len() > MAX_TEXT_BYTES {
            let end = (0..=MAX_TEXT_BYTES).rev().find(|at| value.is_char_boundary(*at)).unwrap_or(0);
            value.truncate(end);
        }
        // Each event must be a single line.
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
        self.store(field, value.to_owned());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.store(field, format!("{value:?}"));
    }
}

/// A subscriber to events.
struct Subscription {
    /// Events that the subscriber receives.
    filter: EventFilter,
    /// Queue of the subscriber.
    sender: mpsc::Sender<Arc<Record>>,
}

/// State of a hub that changes with each event.
#[derive(Default)]
struct HubState {
    /// Rate limiter of events.
    limiter: Limiter,
    /// Latest events, oldest first.
    recent: VecDeque<Arc<Record>>,
    /// Subscribers, oldest first.
    subscriptions: VecDeque<Subscription>,
}

/// Receives all events and distributes them to the log, the buffer of recent events, and subscribers.
pub struct Hub {
    /// Settings of the log, which a reload can change.
    settings: RwLock<Settings>,
    /// Limiter, recent events and subscribers.
    state: Mutex<HubState>,
    /// Origin of the limiter's times.
    start: Instant,
    /// Writes a log line.
    output: Box<dyn Fn(&str) + Send + Sync>,
}

/// The hub of this process, set by [`install`].
static HUB: OnceLock<Arc<Hub>> = OnceLock::new();

/// The hub of this process; none before [`install`] is called.
pub fn hub() -> Option<&'static Arc<Hub>> {
    HUB.get()
}

/// Creates the hub of this process and subscribes it to `tracing`. If the hub exists, only changes its settings.
pub fn install(settings: Settings) -> Arc<Hub> {
    let hub = HUB.get_or_init(|| {
        let hub = Hub::new(settings.clone(), |line| {
            // A failure to write to standard error cannot be reported anywhere.
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        });
        let subscriber = tracing_subscriber::registry().with(HubLayer(hub.clone()));
        // Fails if the process already has a global subscriber, which then receives the events instead.
        let _ = tracing::subscriber::set_global_default(subscriber);
        hub
    });
    hub.apply_settings(settings);
    hub.clone()
}

impl Hub {
    /// Creates a hub that passes log lines to `output`.
    pub fn new(settings: Settings, output: impl Fn(&str) + Send + Sync + 'static) -> Arc<Hub> {
        let mut state = HubState::default();
        state.limiter.set_rate(settings.rate);
        let (settings, state) = (RwLock::new(settings), Mutex::new(state));
        Arc::new(Hub { settings, state, start: Instant::now(), output: Box::new(output) })
    }

    /// Locks the state.
    fn state(&self) -> MutexGuard<'_, HubState> {
        // The state stays usable after a panic: at most the event being handled is lost.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the settings of the log.
    pub fn apply_settings(&self, settings: Settings) {
        self.state().limiter.set_rate(settings.rate);
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = settings;
        tracing::callsite::rebuild_interest_cache();
    }

    /// Calls `read` with the current settings.
    fn with_settings<T>(&self, read: impl FnOnce(&Settings) -> T) -> T {
        read(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// At most `max_count` of the latest events that match `filter`, oldest first.
    pub fn recent(&self, filter: &EventFilter, max_count: usize) -> Vec<Arc<Record>> {
        let state = self.state();
        let mut found: Vec<Arc<Record>> = state
            .recent
            .iter()
            .rev()
            .filter(|record| filter.matches(record))
            .take(max_count)
            .cloned()
            .collect();
        found.reverse();
        found
    }

    /// Subscribes to future events that match `filter`. Events are lost while the subscriber's queue is full.
    pub fn subscribe(&self, filter: EventFilter) -> mpsc::Receiver<Arc<Record>> {
        let (sender, receiver) = mpsc::channel(SUBSCRIBER_QUEUE_LEN);
        let mut state = self.state();
        state.subscriptions.retain(|subscription| !subscription.sender.is_closed());
        if state.subscriptions.len() >= MAX_SUBSCRIBERS {
            state.subscriptions.pop_front();
        }
        state.subscriptions.push_back(Subscription { filter, sender });
        receiver
    }

    /// Emits a record for each kind of suppressed event whose count has not been reported and may be reported now.
    pub fn flush_dropped(&self) {
        let now = self.start.elapsed().as_micros() as u64;
        let dropped = self.state().limiter.take_dropped(now);
        for dropped in dropped {
            let text = format!("{}: {} similar events were suppressed", dropped.event, dropped.count);
            let (event, fields) = (dropped.event.to_owned(), Vec::new());
            self.deliver(Record {
                time: unix_micros(),
                level: Level::INFO,
                area: "events",
                event,
                text,
                fields,
                dropped: 0,
            });
        }
    }

    /// Writes a record to the log, keeps it, and forwards it to subscribers.
    fn deliver(&self, record: Record) {
        let line = record.line(self.with_settings(|s| s.format));
        let record = Arc::new(record);
        let mut state = self.state();
        if state.recent.len() == MAX_RECENT_EVENTS {
            state.recent.pop_front();
        }
        state.recent.push_back(record.clone());
        state.subscriptions.retain(|subscription| {
            !subscription.filter.matches(&record)
                || !matches!(
                    subscription.sender.try_send(record.clone()),
                    Err(mpsc::error::TrySendError::Closed(_))
                )
        });
        drop(state);
        (self.output)(&line);
    }

    /// Handles a `tracing` event: applies the rate limit and delivers the event if it is emitted.
    fn handle_event(&self, event: &Event<'_>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let known = crate::events::ALL.iter().find(|known| known.name == fields.event);
        // Events of other libraries are rate-limited by their target.
        let name = known.map_or(event.metadata().target(), |known| known.name);
        let subject = fields.rest.first().map_or("", |(_, value)| value.as_str());
        let now = self.start.elapsed().as_micros() as u64;
        let limited = known.is_none_or(|known| known.limited());
        let verdict = if limited { self.state().limiter.admit(now, name, subject) } else { Verdict::Emit(0) };
        let Verdict::Emit(dropped) = verdict else { return };
        self.deliver(Record {
            time: unix_micros(),
            level: *event.metadata().level(),
            area: event.metadata().target(),
            event: fields.event,
            text: fields.text,
            fields: fields.rest,
            dropped,
        });
    }
}

/// Current Unix time in microseconds.
fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Layer that passes `tracing` events to a hub.
pub struct HubLayer(pub Arc<Hub>);

impl<S: Subscriber> Layer<S> for HubLayer {
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        self.0.with_settings(|settings| settings.levels.enabled(metadata.target(), *metadata.level()))
    }

    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        self.0.handle_event(event);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::emit;

    /// Runs `emit_events` with a hub as subscriber and returns the log lines.
    fn log_lines(settings: Settings, emit_events: impl FnOnce(&Hub)) -> Vec<String> {
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = lines.clone();
        let hub =
            Hub::new(settings, move |line: &str| output.lock().expect("not poisoned").push(line.to_owned()));
        let subscriber = tracing_subscriber::registry().with(HubLayer(hub.clone()));
        tracing::subscriber::with_default(subscriber, || emit_events(&hub));
        std::mem::take(&mut *lines.lock().expect("not poisoned"))
    }

    #[test]
    fn events_are_logged_as_text_and_json_and_reach_subscribers() {
        let emit_two = |_: &Hub| {
            emit!(ORDER_GIVEN, who = %"anna", thing = %"n7"; "ordered: {} out in p", "n7\nx");
            emit!(CONFIG_RELOADED; "configuration read again");
        };
        assert_eq!(
            log_lines(Settings::default(), emit_two),
            ["ordered: n7 | x out in p\n", "configuration read again\n"]
        );
        let json = log_lines(Settings { format: LineFormat::Json, ..Settings::default() }, emit_two);
        let first: Value = serde_json::from_str(&json[0]).expect("JSON");
        let fields =
            ["level", "area", "event", "who", "thing"].map(|name| first[name].as_str().unwrap_or(""));
        assert_eq!(fields, ["info", "orders", "order.given", "anna", "n7"]);
        let lines = log_lines(Settings::default(), |hub| {
            let filter = EventFilter { event: Some("order.".to_owned()), ..EventFilter::default() };
            let mut subscriber = hub.subscribe(filter.clone());
            emit_two(hub);
            assert_eq!(subscriber.try_recv().expect("the matching event is forwarded").event, "order.given");
            assert!(subscriber.try_recv().is_err(), "the other event does not match the filter");
            assert_eq!(hub.recent(&filter, 10).len(), 1);
            assert_eq!(hub.recent(&EventFilter::default(), 1)[0].event, "config.read");
            for filter in [
                EventFilter { level: Some("warn".to_owned()), ..EventFilter::default() },
                EventFilter { area: Some("order".to_owned()), ..EventFilter::default() },
                EventFilter { text: Some("n8".to_owned()), ..EventFilter::default() },
            ] {
                assert!(hub.recent(&filter, 10).is_empty(), "{filter:?}");
            }
            assert!(
                EventFilter { level: Some("loud".to_owned()), ..EventFilter::default() }.validate().is_err()
            );
            // A subscriber that reads nothing does not block others; it loses events once its queue is full. Of 1000 subscribers,
            // the last 16 stay subscribed.
            let subscribers: Vec<_> = (0..1000).map(|_| hub.subscribe(EventFilter::default())).collect();
            for n in 0..2 * SUBSCRIBER_QUEUE_LEN {
                emit!(ORDER_GIVEN, who = %n, thing = %n; "ordered: {n}");
            }
            let open =
                subscribers.iter().filter(|subscriber| subscriber.len() == SUBSCRIBER_QUEUE_LEN).count();
            assert_eq!(open, MAX_SUBSCRIBERS);
        });
        assert_eq!(lines.len(), 2 + 2 * SUBSCRIBER_QUEUE_LEN);
    }

    #[test]
    fn levels_and_rates_apply_and_can_change_at_runtime() {
        let rate = Rate { burst: 3.0, per_second: 0.001 };
        let quiet = Settings {
            levels: Levels { default_level: Level::ERROR, ..Levels::default() },
            ..Settings::default()
        };
        let lines = log_lines(Settings { rate, ..Settings::default() }, |hub| {
            for _ in 0..10 {
                emit!(DISCOVERY_ADDRESS_INVALID, node = %"n7"; "out");
            }
            // Events about operators' actions are not rate-limited.
            (0..5).for_each(|_| emit!(CONFIG_RELOADED; "read"));
            emit!(DISCOVERY_ADDRESS_INVALID, node = %"n8"; "another");
            hub.apply_settings(quiet.clone());
            emit!(DISCOVERY_ADDRESS_INVALID, node = %"n9"; "disabled by its level");
            emit!(DEFECT, what = %"x"; "defect: x");
        });
        assert_eq!(
            lines,
            ["out", "out", "out", "read", "read", "read", "read", "read", "another", "defect: x"]
                .map(|l| format!("{l}\n"))
        );
    }
}
