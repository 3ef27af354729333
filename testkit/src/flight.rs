//! A stand-in engine and a client on Arrow Flight SQL, written from its public description.

use crate::{Act, Ended, World, rows};
use arrow_array::{Array, RecordBatch, StringArray};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::server::{FlightSqlService, PeekableFlightDataStream};
use arrow_flight::sql::{
    CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt, TicketStatementQuery,
};
use arrow_flight::{FlightData, FlightDescriptor, FlightEndpoint, FlightInfo, Ticket};
use arrow_schema::{DataType, Field, Schema};
use futures::{StreamExt, TryStreamExt, stream};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tonic::body::Body;
use tonic::metadata::MetadataMap;
use tonic::{Code, Request, Response, Status};
use tonic_types::StatusExt;

#[derive(Clone)]
struct Engine {
    name: &'static str,
    world: World,
    /// Breaks the connection that the engine stands behind.
    cut: Arc<Notify>,
}

/// Tells the script when a call is dropped before its end.
struct Running<'a>(&'a World, &'a str, bool);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.2 {
            self.0.gave_up(self.1);
        }
    }
}

pub async fn engine(name: &'static str, world: World) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let cut = Arc::new(Notify::new());
            let service = FlightServiceServer::new(Engine { name, world: world.clone(), cut: cut.clone() });
            tokio::spawn(async move {
                let server = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
                let served = server.serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
                tokio::select! { _ = served => {}, () = cut.notified() => {} }
            });
        }
    });
    address
}

fn batches() -> Vec<RecordBatch> {
    let schema = Schema::new(
        vec!["day", "count", "note"]
            .into_iter()
            .map(|n| Field::new(n, DataType::Utf8, true))
            .collect::<Vec<_>>(),
    );
    let schema = Arc::new(schema);
    rows()
        .chunks(200)
        .map(|chunk| {
            let column = |c: usize| {
                Arc::new(StringArray::from_iter_values(chunk.iter().map(|r| &r[c]))) as Arc<dyn Array>
            };
            RecordBatch::try_new(schema.clone(), vec![column(0), column(1), column(2)]).unwrap()
        })
        .collect()
}

impl Engine {
    async fn act(&self, statement: &str, head: &MetadataMap) -> Result<Act, Status> {
        let key = head.get("reedwalk-key").map(|k| k.to_str().unwrap());
        let act = self.world.act(self.name, statement, key);
        match act {
            Act::Busy => Err(Status::resource_exhausted("full")),
            Act::Error => Err(Status::internal("broken")),
            Act::Hang => {
                let _running = Running(&self.world, statement, false);
                std::future::pending().await
            }
            Act::LoseAck => {
                self.cut.notify_one();
                std::future::pending().await
            }
            // What only RESP can spoil is served here.
            _ => Ok(act),
        }
    }
}

#[tonic::async_trait]
impl FlightSqlService for Engine {
    type FlightService = Engine;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let ticket = TicketStatementQuery { statement_handle: query.query.into() };
        let endpoint = FlightEndpoint::new().with_ticket(Ticket::new(ticket.as_any().encode_to_vec()));
        Ok(Response::new(FlightInfo::new().with_endpoint(endpoint)))
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<<Self as FlightService>::DoGetStream>, Status> {
        let statement = String::from_utf8(ticket.statement_handle.to_vec()).unwrap();
        let act = self.act(&statement, request.metadata()).await?;
        let data = FlightDataEncoderBuilder::new().build(stream::iter(batches().into_iter().map(Ok)));
        let whole: Vec<_> =
            data.try_collect().await.map_err(|e: FlightError| Status::internal(e.to_string()))?;
        let cut = self.cut.clone();
        let half = if act == Act::Cut { whole.len() / 2 } else { whole.len() };
        let body = stream::iter(whole.into_iter().take(half).map(Ok)).chain(
            stream::once(async move {
                if act == Act::Cut {
                    cut.notify_one();
                    std::future::pending::<()>().await;
                }
                None
            })
            .filter_map(|end| async move { end }),
        );
        let mut response: Response<<Self as FlightService>::DoGetStream> = Response::new(Box::pin(body));
        response.metadata_mut().insert("reedwalk-work-ms", "120".parse().unwrap());
        response.metadata_mut().insert("reedwalk-load", "util:0.2;x0:0.1".parse().unwrap());
        Ok(response)
    }

    async fn do_put_statement_update(
        &self,
        command: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        self.act(&command.query, &request.metadata().clone()).await?;
        Ok(41)
    }
}

/// A client straight on HTTP/2: tonic's own channel would answer a call's deadline itself.
#[derive(Clone)]
pub struct Client {
    send: hyper::client::conn::http2::SendRequest<Body>,
    pub headers: Vec<(&'static str, String)>,
}

type Inner = FlightServiceClient<
    tower::util::BoxCloneSyncService<
        http::Request<Body>,
        http::Response<hyper::body::Incoming>,
        hyper::Error,
    >,
>;

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::over(TcpStream::connect(address).await.unwrap()).await
    }

    /// A client on a connection that stands.
    pub async fn over(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        let (send, connection) =
            hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self { send, headers: Vec::new() }
    }

    /// A client whose calls bear this class, and a key where the class has one.
    pub fn of(&self, class: &str, key: Option<&str>) -> Self {
        let mut headers = vec![("reedwalk-class", class.to_owned())];
        headers.extend(key.map(|k| ("reedwalk-key", k.to_owned())));
        Self { send: self.send.clone(), headers }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn inner(&self) -> Inner {
        let send = self.send.clone();
        let service = tower::service_fn(move |request| {
            let mut send = send.clone();
            async move {
                send.ready().await?;
                send.send_request(request).await
            }
        });
        let origin = http::Uri::from_static("http://reedwalk");
        FlightServiceClient::with_origin(tower::util::BoxCloneSyncService::new(service), origin)
    }

    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        for (name, value) in &self.headers {
            request.metadata_mut().insert(*name, value.parse().unwrap());
        }
        request
    }

    pub async fn info(&self, text: &str) -> Result<FlightInfo, Status> {
        let command = CommandStatementQuery { query: text.into(), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        Ok(self.inner().get_flight_info(self.request(descriptor)).await?.into_inner())
    }

    pub async fn get(&self, ticket: Ticket) -> Result<Vec<Vec<String>>, Status> {
        let body = self.inner().do_get(self.request(ticket)).await?.into_inner();
        let batches = FlightRecordBatchStream::new_from_flight_data(body.map_err(FlightError::from));
        let batches: Vec<RecordBatch> = batches.try_collect().await.map_err(Status::from)?;
        let mut rows = Vec::new();
        for batch in &batches {
            for row in 0..batch.num_rows() {
                let cell = |c: &Arc<dyn Array>| {
                    c.as_any().downcast_ref::<StringArray>().unwrap().value(row).to_owned()
                };
                rows.push(batch.columns().iter().map(cell).collect());
            }
        }
        Ok(rows)
    }

    pub async fn ask(&self, text: &str) -> Result<Vec<Vec<String>>, Status> {
        let info = self.info(text).await?;
        self.get(info.endpoint[0].ticket.clone().unwrap()).await
    }

    pub async fn update(&self, text: &str) -> Result<i64, Status> {
        let command = CommandStatementUpdate { query: text.into(), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() };
        let mut body = self.inner().do_put(self.request(stream::iter([data]))).await?.into_inner();
        let result = body.message().await?.expect("no count");
        Ok(DoPutUpdateResult::decode(result.app_metadata).unwrap().record_count)
    }
}

pub fn ended<T>(answer: Result<T, Status>) -> Ended {
    let Err(status) = answer else { return Ended::Served };
    let details = status.get_error_details();
    let reason = details.error_info().map(|i| i.reason.clone()).unwrap_or_default();
    match status.code() {
        Code::ResourceExhausted => {
            let why =
                ["BUSY", "SHED", "BUDGET", "CONTRACT"].into_iter().find(|w| *w == reason).expect("no reason");
            Ended::Refused(why, details.retry_info().is_some_and(|r| r.retry_delay.is_some()))
        }
        Code::InvalidArgument => Ended::BadInput,
        Code::DeadlineExceeded => Ended::Failed("DEADLINE"),
        Code::Internal => Ended::Failed("ENGINE"),
        other => panic!("unmapped status {other:?}: {status}"),
    }
}
