//! A fake endpoint that can have every endpoint fault of the matrix and records
//! the requests that it received and ran.

use std::{
    collections::HashMap,
    io::Error,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use pistachiotrack_core::header;
use tokio::{net::TcpListener, sync::watch};

use super::{ID_HEADER, REPEAT_SUFFIX};

/// Fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EndpointFault {
    /// No fault.
    #[default]
    Healthy,
    /// Health checks succeed, requests fail.
    Gray,
    /// Every answer is slow.
    Slow,
    /// Nothing is answered.
    Hanging,
    /// Requests fail during every second interval of [`FLAP_MS`].
    Flapping,
    /// It announces that it is draining.
    Draining,
    /// The first answers are slow.
    ColdStart,
    /// Every request is shed without being run.
    Shedding,
    /// It reports a load that is far too high.
    WrongLoad,
    /// Answers arrive after the deadline.
    Late,
    /// A request is run, then its connection closes without an answer.
    ClosesWithoutAnswer,
    /// Answers end before they are complete.
    TruncatesAnswers,
}

/// Point at which endpoints hold requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Hold {
    /// Requests are not held.
    #[default]
    Nowhere,
    /// Before the answer begins.
    BeforeAnswer,
    /// In the middle of the answer.
    HalfAnswered,
    /// Before the request is shed.
    BeforeShed,
}

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// ID of the request.
    pub(crate) id: String,
    /// ID of this sending of the request.
    pub(crate) send_id: String,
    /// Time at which its head arrived.
    pub(crate) received_at: Instant,
    /// Whether it was run.
    pub(crate) ran: bool,
    /// Whether it was shed without being run.
    pub(crate) shed: bool,
}

/// Delay of late answers, which is longer than any deadline of the tests.
const LATE_DELAY: Duration = Duration::from_millis(2_500);
const SLOW_DELAY: Duration = Duration::from_millis(300);
const FLAP_MS: u128 = 200;
const COLD_ANSWERS: usize = 4;

/// A fake endpoint.
#[derive(Clone)]
pub(crate) struct Endpoint {
    /// Address that the endpoint listens on.
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

struct State {
    faults: Mutex<Vec<EndpointFault>>,
    hold: watch::Sender<Hold>,
    received: Mutex<Vec<ReceivedRequest>>,
    held_count: watch::Sender<usize>,
    started: Instant,
    cold_answers: Mutex<usize>,
}

impl Endpoint {
    /// Starts an endpoint without faults.
    pub(crate) async fn start() -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            faults: Mutex::default(),
            hold: watch::Sender::default(),
            received: Mutex::default(),
            held_count: watch::Sender::default(),
            started: Instant::now(),
            cold_answers: Mutex::default(),
        });
        let endpoint = Endpoint { address, state: Arc::clone(&state) };
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let state = Arc::clone(&state);
                let service = service_fn(move |request| answer(Arc::clone(&state), request));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        endpoint
    }

    /// Adds a fault to those that the endpoint already has.
    pub(crate) fn add_fault(&self, fault: EndpointFault) {
        self.state.faults.lock().unwrap().push(fault);
    }

    /// Removes all faults.
    pub(crate) fn clear_faults(&self) {
        self.state.faults.lock().unwrap().clear();
    }

    /// Sets the point at which requests are held.
    pub(crate) fn hold(&self, hold: Hold) {
        self.state.hold.send_replace(hold);
    }

    /// Returns the number of requests that were held so far.
    pub(crate) fn held_count(&self) -> usize {
        *self.state.held_count.borrow()
    }

    /// Returns the requests received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().unwrap().clone()
    }
}

impl State {
    fn has_fault(&self, fault: EndpointFault) -> bool {
        self.faults.lock().unwrap().contains(&fault)
    }

    fn record_received(&self, id: &str, send_id: &str) -> usize {
        let mut received = self.received.lock().unwrap();
        let (id, send_id) = (id.to_owned(), send_id.to_owned());
        received.push(ReceivedRequest {
            id,
            send_id,
            received_at: Instant::now(),
            ran: false,
            shed: false,
        });
        received.len() - 1
    }

    fn delay(&self) -> Duration {
        let mut delay = Duration::ZERO;
        if self.has_fault(EndpointFault::Slow) {
            delay += SLOW_DELAY;
        }
        let mut cold_answers = self.cold_answers.lock().unwrap();
        if self.has_fault(EndpointFault::ColdStart) && *cold_answers < COLD_ANSWERS {
            *cold_answers += 1;
            delay += 2 * SLOW_DELAY;
        }
        if self.has_fault(EndpointFault::Late) {
            delay += LATE_DELAY;
        }
        delay
    }

    fn fails(&self) -> bool {
        let is_in_failing_interval =
            (self.started.elapsed().as_millis() / FLAP_MS).is_multiple_of(2);
        self.has_fault(EndpointFault::Gray)
            || (self.has_fault(EndpointFault::Flapping) && is_in_failing_interval)
    }

    async fn wait_while_held(&self, hold: Hold) {
        let mut receiver = self.hold.subscribe();
        if *receiver.borrow_and_update() == hold {
            self.held_count.send_modify(|held_count| *held_count += 1);
            let _ = receiver.wait_for(|now| *now != hold).await;
        }
    }
}

type Parts = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Error>> + Send>>;
type Answer = Response<StreamBody<Parts>>;

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Result<Answer, Error> {
    if state.has_fault(EndpointFault::Hanging) {
        std::future::pending::<()>().await;
    }
    let Some(send_id) = request.headers().get(ID_HEADER).map(|id| id.to_str().unwrap().to_owned())
    else {
        return Ok(response(&state, 200, whole_body(Bytes::from_static(b"well"))));
    };
    let id = send_id.trim_end_matches(REPEAT_SUFFIX);
    let index = state.record_received(id, &send_id);
    if request.into_body().collect().await.is_err() {
        return Ok(response(&state, 400, whole_body(Bytes::new())));
    }
    let to_shed = *state.hold.borrow() == Hold::BeforeShed;
    state.wait_while_held(Hold::BeforeShed).await;
    if to_shed || state.has_fault(EndpointFault::Shedding) {
        state.received.lock().unwrap()[index].shed = true;
        let mut answer = response(&state, 503, whole_body(Bytes::new()));
        answer.headers_mut().insert(header::NOT_RUN, "true".parse().unwrap());
        return Ok(answer);
    }
    state.received.lock().unwrap()[index].ran = true;
    state.wait_while_held(Hold::BeforeAnswer).await;
    tokio::time::sleep(state.delay()).await;
    if state.has_fault(EndpointFault::Hanging) {
        std::future::pending::<()>().await;
    }
    if state.has_fault(EndpointFault::ClosesWithoutAnswer) {
        return Err(Error::other("closes without an answer"));
    }
    if state.fails() {
        return Ok(response(&state, 500, whole_body(Bytes::from(super::failure_body(id)))));
    }
    let body = Bytes::from(super::payload(id));
    let length = body.len();
    let mut answer = response(&state, 200, body_in_halves(Arc::clone(&state), body));
    // Every second answer is chunked, so that both framings are tested.
    if index.is_multiple_of(2) {
        answer.headers_mut().insert("content-length", length.into());
    }
    Ok(answer)
}

fn whole_body(body: Bytes) -> Parts {
    stream::iter([Ok(Frame::data(body))]).boxed()
}

/// Returns a body in two parts; it can be held or truncated between them.
fn body_in_halves(state: Arc<State>, body: Bytes) -> Parts {
    let (first, second) = (body.slice(..body.len() / 2), body.slice(body.len() / 2..));
    let rest = stream::once(async move {
        state.wait_while_held(Hold::HalfAnswered).await;
        if state.has_fault(EndpointFault::Hanging) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(state.delay()).await;
        match state.has_fault(EndpointFault::TruncatesAnswers) {
            true => Err(Error::other("truncated")),
            false => Ok(Frame::data(second)),
        }
    });
    stream::iter([Ok(Frame::data(first))]).chain(rest).boxed()
}

fn response(state: &State, status: u16, body: Parts) -> Answer {
    let mut answer = Response::new(StreamBody::new(body));
    *answer.status_mut() = status.try_into().unwrap();
    let headers = answer.headers_mut();
    if state.has_fault(EndpointFault::Draining) {
        headers.insert(header::DRAINING, "true".parse().unwrap());
    }
    let load = if state.has_fault(EndpointFault::WrongLoad) { "4000000000" } else { "1" };
    headers.insert(header::LOAD, load.parse().unwrap());
    answer
}

/// Returns how many times each request was run, over all endpoints.
pub(crate) fn run_counts(endpoints: &[Endpoint]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for request in endpoints.iter().flat_map(Endpoint::received).filter(|request| request.ran) {
        *runs.entry(request.id).or_default() += 1;
    }
    runs
}
