//! A fake endpoint that can be sick in every way of the matrix and writes down
//! what it saw and what it ran.

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

use super::{AGAIN, ID};

/// How an endpoint is sick.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Sickness {
    /// It is well.
    #[default]
    Well,
    /// Health checks are answered, work fails.
    Gray,
    /// Every answer takes long.
    Straggles,
    /// Nothing is answered.
    Hangs,
    /// Every second second it is gray.
    Flaps,
    /// It says that it is leaving.
    Draining,
    /// The first answers take long.
    Cold,
    /// All work is refused unrun.
    Sheds,
    /// Its load report is wild.
    Lies,
    /// Answers come after the deadline.
    Late,
    /// Work is run, then its connection breaks without an answer.
    BreaksOff,
    /// Answers end before their announced length.
    CutsShort,
}

/// Where requests are held up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Hold {
    /// Nowhere.
    #[default]
    Nowhere,
    /// Before the answer begins.
    BeforeAnswer,
    /// In the middle of the answer.
    HalfAnswered,
    /// Before the work is refused unrun.
    BeforeShed,
}

/// What happened to a request at one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Sight {
    /// The request.
    pub(crate) id: String,
    /// The sending of the request.
    pub(crate) sending: String,
    /// Moment at which its head arrived.
    pub(crate) at: Instant,
    /// Whether it was run.
    pub(crate) ran: bool,
    /// Whether it was refused unrun.
    pub(crate) shed: bool,
}

/// Longer than any deadline of the tests.
const TOO_LATE: Duration = Duration::from_millis(2_500);
const STRAGGLE: Duration = Duration::from_millis(300);
const FLAP: u128 = 200;
const COLD_ANSWERS: usize = 4;

/// A fake endpoint.
#[derive(Clone)]
pub(crate) struct Endpoint {
    /// Address that it serves on.
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

struct State {
    sickness: Mutex<Vec<Sickness>>,
    hold: watch::Sender<Hold>,
    sights: Mutex<Vec<Sight>>,
    reached: watch::Sender<usize>,
    started: Instant,
    warm: Mutex<usize>,
}

impl Endpoint {
    /// Starts a well endpoint.
    pub(crate) async fn start() -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            sickness: Mutex::default(),
            hold: watch::Sender::default(),
            sights: Mutex::default(),
            reached: watch::Sender::default(),
            started: Instant::now(),
            warm: Mutex::default(),
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

    /// Makes the endpoint sick besides what it is already.
    pub(crate) fn fall_sick(&self, sickness: Sickness) {
        self.state.sickness.lock().unwrap().push(sickness);
    }

    /// Heals the endpoint.
    pub(crate) fn heal(&self) {
        self.state.sickness.lock().unwrap().clear();
    }

    /// Holds requests up.
    pub(crate) fn hold(&self, hold: Hold) {
        self.state.hold.send_replace(hold);
    }

    /// Counts the requests that reached the place where they are held up.
    pub(crate) fn reached(&self) -> usize {
        *self.state.reached.borrow()
    }

    /// Returns what happened to every request so far.
    pub(crate) fn sights(&self) -> Vec<Sight> {
        self.state.sights.lock().unwrap().clone()
    }
}

impl State {
    fn is(&self, sickness: Sickness) -> bool {
        self.sickness.lock().unwrap().contains(&sickness)
    }

    fn see(&self, id: &str, sending: &str) -> usize {
        let mut sights = self.sights.lock().unwrap();
        let (id, sending) = (id.to_owned(), sending.to_owned());
        sights.push(Sight { id, sending, at: Instant::now(), ran: false, shed: false });
        sights.len() - 1
    }

    fn delay(&self) -> Duration {
        let mut delay = Duration::ZERO;
        if self.is(Sickness::Straggles) {
            delay += STRAGGLE;
        }
        let mut warm = self.warm.lock().unwrap();
        if self.is(Sickness::Cold) && *warm < COLD_ANSWERS {
            *warm += 1;
            delay += 2 * STRAGGLE;
        }
        if self.is(Sickness::Late) {
            delay += TOO_LATE;
        }
        delay
    }

    fn fails(&self) -> bool {
        let flapped = (self.started.elapsed().as_millis() / FLAP).is_multiple_of(2);
        self.is(Sickness::Gray) || (self.is(Sickness::Flaps) && flapped)
    }

    async fn held(&self, hold: Hold) {
        let mut receiver = self.hold.subscribe();
        if *receiver.borrow_and_update() == hold {
            self.reached.send_modify(|reached| *reached += 1);
            let _ = receiver.wait_for(|now| *now != hold).await;
        }
    }
}

type Parts = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Error>> + Send>>;
type Answer = Response<StreamBody<Parts>>;

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Result<Answer, Error> {
    if state.is(Sickness::Hangs) {
        std::future::pending::<()>().await;
    }
    let Some(sending) = request.headers().get(ID).map(|id| id.to_str().unwrap().to_owned()) else {
        return Ok(head(&state, 200, whole(Bytes::from_static(b"well"))));
    };
    let id = sending.trim_end_matches(AGAIN);
    let sight = state.see(id, &sending);
    if request.into_body().collect().await.is_err() {
        return Ok(head(&state, 400, whole(Bytes::new())));
    }
    let to_shed = *state.hold.borrow() == Hold::BeforeShed;
    state.held(Hold::BeforeShed).await;
    if to_shed || state.is(Sickness::Sheds) {
        state.sights.lock().unwrap()[sight].shed = true;
        let mut answer = head(&state, 503, whole(Bytes::new()));
        answer.headers_mut().insert(header::NOT_RUN, "true".parse().unwrap());
        return Ok(answer);
    }
    state.sights.lock().unwrap()[sight].ran = true;
    state.held(Hold::BeforeAnswer).await;
    tokio::time::sleep(state.delay()).await;
    if state.is(Sickness::Hangs) {
        std::future::pending::<()>().await;
    }
    if state.is(Sickness::BreaksOff) {
        return Err(Error::other("breaks off"));
    }
    if state.fails() {
        return Ok(head(&state, 500, whole(Bytes::from(super::failure(id)))));
    }
    let body = Bytes::from(super::payload(id));
    let length = body.len();
    let mut answer = head(&state, 200, halves(Arc::clone(&state), body));
    // Every second answer is chunked.
    if sight.is_multiple_of(2) {
        answer.headers_mut().insert("content-length", length.into());
    }
    Ok(answer)
}

fn whole(body: Bytes) -> Parts {
    stream::iter([Ok(Frame::data(body))]).boxed()
}

/// Returns a body in two parts between which it may be held up or cut.
fn halves(state: Arc<State>, body: Bytes) -> Parts {
    let (first, second) = (body.slice(..body.len() / 2), body.slice(body.len() / 2..));
    let rest = stream::once(async move {
        state.held(Hold::HalfAnswered).await;
        if state.is(Sickness::Hangs) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(state.delay()).await;
        match state.is(Sickness::CutsShort) {
            true => Err(Error::other("cut short")),
            false => Ok(Frame::data(second)),
        }
    });
    stream::iter([Ok(Frame::data(first))]).chain(rest).boxed()
}

fn head(state: &State, status: u16, body: Parts) -> Answer {
    let mut answer = Response::new(StreamBody::new(body));
    *answer.status_mut() = status.try_into().unwrap();
    let headers = answer.headers_mut();
    if state.is(Sickness::Draining) {
        headers.insert(header::DRAINING, "true".parse().unwrap());
    }
    let load = if state.is(Sickness::Lies) { "4000000000" } else { "1" };
    headers.insert(header::LOAD, load.parse().unwrap());
    answer
}

/// Returns how often each request was run, over all endpoints.
pub(crate) fn runs(endpoints: &[Endpoint]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for sight in endpoints.iter().flat_map(Endpoint::sights).filter(|sight| sight.ran) {
        *runs.entry(sight.id).or_default() += 1;
    }
    runs
}
