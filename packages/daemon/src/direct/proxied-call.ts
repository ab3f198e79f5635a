import {createHash} from 'node:crypto';
import type {
	IncomingHttpHeaders,
	IncomingMessage,
	ServerResponse,
} from 'node:http';
import {
	adapterKey,
	EventStreamSplitter,
	checkDispatch,
	hasSoonerEngine,
	pickShare,
	type CustomerRule,
	type Holding,
	type OutputProgress,
	type PartVerdict,
	type RouteRule,
	type ServerChoice,
	type ServerNeed,
	type StreamOrigin,
	type VersionToExpect,
} from '@balsamtray/core';
import {EndlessResponseError} from '../common/endless-response-error.js';
import type {Disposable} from '../common/types.js';
import type {CallerMemory, MemoryKeeper} from '../intake/caller-memory.js';
import {RequestMemory} from '../intake/request-memory.js';
import {memoryUsedUp} from '../intake/types.js';
import {badGateway, unavailable, type CallRefusal} from './call-refusal.js';
import {
	maxPrefillWaitShare,
	maxWaitShare,
	otherEntryRetryAfterMs,
	unknownStreamRetryAfterMs,
	unreadConnectionBytes,
} from './constants.js';
import type {CallContext} from './call-context.js';
import {
	hasCallerLeft,
	isCallerGone,
	turnsBeforeSend,
} from './caller-presence.js';
import {createAttempt, type Attempt} from './call-attempt.js';
import {CallRecord} from './call-record.js';
import {createTurnNeed, EngineTurn} from './engine-turn.js';
import type {Reservation} from './entry-peers.js';
import {refusalBody, retryAfterOf} from './raw-refusal.js';
import {recallOutcomes} from './recall-outcomes.js';
import {reserveUnits} from './reserve-units.js';
import {
	createWaiter,
	refuseBeforeWait,
	waitKeyOf,
	type WaitChoice,
	type WaitSubject,
} from './server-wait.js';
import {refuseWait} from './wait-refusal.js';
import {endOutput, startOutput} from './stream-output.js';
import {cutResponse, isFramed} from './response-cut.js';
import {forwardedHeaders, isEventStream} from './response-headers.js';
import type {CallMetadata, ResponseMetadata} from './types.js';
import type {ResponseFraming, UpstreamCall, UpstreamSink} from './upstream.js';
import type {Waiter} from './wait-queue.js';

/** A caller's request and the response to write to. */
export type CallExchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly metadata: CallMetadata;
	/** Monotonic time at which the request headers were read, in milliseconds. */
	readonly arrivedAt: number;
	/** Whether another request runs on the connection. */
	readonly sharesConnection: () => boolean;
	/** Called when the response announces that its connection closes after it. */
	readonly onCloseAnnounced: () => void;
	/** Called once, when the response has begun to end or the caller has left. */
	readonly onEnded: () => void;
	/** Counts what is kept for the request. */
	readonly memory: CallerMemory;
};

/** Refusal of a request that another entry can serve, as this one stops. */
const stoppingRefusal: CallRefusal = {
	...unavailable('stopping'),
	retryAfterMs: otherEntryRetryAfterMs,
};

const staleRefusal = unavailable('configurationStale');

const noBody = new Uint8Array(0);

/** Status that a server sends if it is not the addressed server or lacks the adapter that the request needs. */
const misdirectedStatus = 421;

/** Proxies one request to a server and relays the response, with queueing, retries and a deadline. */
export class ProxiedCall implements MemoryKeeper {
	static create(context: CallContext, exchange: CallExchange): ProxiedCall {
		return new ProxiedCall(context, exchange);
	}

	private readonly _req: IncomingMessage;
	private readonly _res: ServerResponse;
	private readonly _metadata: CallMetadata;
	private readonly _arrivedAt: number;
	private readonly _sharesConnection: () => boolean;
	private readonly _onCloseAnnounced: () => void;
	private readonly _onEnded: () => void;
	private readonly _memory: RequestMemory;
	/** Time at which the complete body was read; undefined before. */
	private _readAt: number | undefined;
	/** Time since which the caller has not read the response that is written. */
	private _unreadSince = 0;
	/** Clock epoch at the arrival. */
	private readonly _epoch: number;
	private _route: RouteRule | undefined;
	private _service: string | undefined;
	private _customer: CustomerRule | undefined;
	private _body: Uint8Array = noBody;
	/** Units that were taken from a customer's rate for this request. */
	private _reserved:
		{readonly customer: string; readonly units: number} | undefined;

	private _attempt: Attempt | undefined;
	private _eventSplitter: EventStreamSplitter | undefined;
	private _lastEventId: string | undefined;
	/** Where the stream began; undefined until its first event. */
	private _origin: StreamOrigin | undefined;
	private _waiter: Waiter | undefined;
	/** What is expected of the output at an engine; undefined until a server is chosen. */
	private _output: OutputProgress | undefined;
	private _waitDeadlineAt = 0;
	private _deadlineTimer: NodeJS.Timeout | undefined;
	private _deadlineAt = 0;
	private _isEnded = false;
	/** Whether the response is paused until the caller has read more. */
	private _isPaused = false;
	/** Time since which the prompt waits for a turn; undefined if it never asked for one. */
	private _turnSince: number | undefined;
	/** Whether an agent has said that the turn of the prompt comes too late. */
	private _hasLateTurn = false;
	/** Whether some server may have run the request. */
	private _mayHaveRun = false;
	private _hasCountedRequest = false;
	/** Whether some attempt was sent, so that another one is a retry. */
	private _hasSent = false;
	/** Whether the end of a server may have interrupted some attempt. */
	private _wasInterrupted = false;
	/** Service of which a retry was taken that is not sent yet. */
	private _retryTaken: string | undefined;
	private _cachedFingerprint: string | undefined;
	private readonly _attemptedServers = new Set<string>();
	private readonly _record = CallRecord.create();
	/** Random number that selects the service of the route. Fixed per request, so every retry stays on that service. */
	private readonly _randomShare: number;

	private constructor(
		private readonly _context: CallContext,
		{
			req,
			res,
			metadata,
			arrivedAt,
			sharesConnection,
			onCloseAnnounced,
			onEnded,
			memory,
		}: CallExchange,
	) {
		this._req = req;
		this._res = res;
		this._metadata = metadata;
		this._arrivedAt = arrivedAt;
		this._sharesConnection = sharesConnection;
		this._onCloseAnnounced = onCloseAnnounced;
		this._onEnded = onEnded;
		this._memory = RequestMemory.create(memory, this);
		this._epoch = _context.epoch();
		this._randomShare = _context.random();
		this._lastEventId = metadata.lastEventId;
		res.on('close', () => {
			this.onCallerClosed();
		});
		// A write can fail on a connection that broke in the same event loop turn; 'close' follows.
		res.on('error', () => {
			this.onCallerClosed();
		});
	}

	/** Whether its response has begun to end, or its caller has left. */
	get isEnded(): boolean {
		return this._isEnded;
	}

	/** Whether its body is not read completely. */
	get isReading(): boolean {
		return !this._isEnded && this._readAt === undefined;
	}

	/** How far the request is, for the decision who yields when the memory for callers is used up. */
	keptFor(): Pick<Holding, 'stage' | 'since'> {
		if (this._isEnded || this._isPaused) {
			return {stage: 'unread', since: this._unreadSince};
		}

		if (this._readAt === undefined) {
			return {stage: 'reading', since: this._arrivedAt};
		}

		const isRunning = this._mayHaveRun || this._attempt?.isSent === true;
		return {stage: isRunning ? 'running' : 'waiting', since: this._readAt};
	}

	/** Refuses the request, or cuts its response, which the caller does not read. */
	yieldMemory(retryAfterMs: number): void {
		if (this._isEnded) {
			cutResponse(this._res);
			return;
		}

		const {_attempt: attempt} = this;
		attempt?.call?.abort();
		attempt?.exposure?.onLeft();
		this._mayHaveRun ||= attempt?.isSent ?? false;
		this._endAttempt('memory used up');
		this._fail(memoryUsedUp(retryAfterMs));
	}

	/** Memory that is kept for the request. */
	get memory(): RequestMemory {
		return this._memory;
	}

	/**
	 * Resolves the route and the customer and starts the deadline, before the body is read.
	 *
	 * @returns whether the request was admitted
	 */
	admit(): boolean {
		const refusal = this._authorize();
		if (refusal !== undefined) {
			this.refuse(refusal);
			return false;
		}

		const {kind, timeoutMs} = this._route!;
		if (!this._context.shutdown.accepts(kind)) {
			this.refuse(stoppingRefusal);
			return false;
		}

		this._deadlineAt =
			this._arrivedAt +
			Math.min(timeoutMs, this._metadata.deadlineMs ?? timeoutMs);
		const remainingMs = this._deadlineAt - this._context.clock();
		this._waitDeadlineAt =
			this._arrivedAt + (this._deadlineAt - this._arrivedAt) * maxWaitShare;
		this._deadlineTimer = setTimeout(
			() => {
				this._onDeadline();
			},
			Math.max(0, remainingMs),
		);
		return true;
	}

	/** Takes the customer's quota and assigns a server, once the complete body is read. */
	async run(body: Uint8Array): Promise<void> {
		this._body = body;
		this._readAt = this._context.clock();
		this._memory.noteBody(body.length);
		if (this._isEnded) {
			return;
		}

		const customer = this._customer;
		if (customer !== undefined) {
			const units = this._unitsOf(customer);
			const {grant, owner} = await this._reserve(customer, units);
			if (this._isEnded) {
				if (grant.kind === 'granted') {
					this._context.peers.returnUnits(customer.name, units);
				}

				return;
			}

			if (grant.kind === 'refused') {
				this._record.noteRateRefusal(owner, grant.level);
				this.refuse({
					status: 429,
					reason: 'overRate',
					isNotRun: true,
					retryAfterMs: grant.retryAfterMs,
				});
				return;
			}

			this._reserved = {customer: customer.name, units};
		}

		if (await this._findOrigin()) {
			this._assignServer();
		}
	}

	/** Ends the request with an error, or cuts the response if its headers are already sent. */
	refuse(refusal: CallRefusal): void {
		if (this._isEnded) {
			return;
		}

		const {status} = refusal;
		if (this._res.headersSent) {
			this._finish(refusal);
			cutResponse(this._res);
			return;
		}

		this._finish(refusal);
		this._res.statusCode = status;
		this._res.setHeader('content-type', 'application/json');
		if (refusal.retryAfterMs !== undefined) {
			this._res.setHeader('retry-after', retryAfterOf(refusal.retryAfterMs));
		}

		if (!this._req.complete || this._isLastOnConnection) {
			this._res.setHeader('connection', 'close');
			this._onCloseAnnounced();
		}

		this._res.end(refusalBody(refusal));
		this._noteUnread();
	}

	/** Ends the request, since the process exits. One that no server has got is refused as not run. */
	onProcessEnding(): void {
		if (this._isEnded) {
			return;
		}

		const {_attempt: attempt} = this;
		attempt?.call?.abort();
		attempt?.exposure?.onLeft();
		this._mayHaveRun ||= attempt?.isSent ?? false;
		this._endAttempt('cut by the exit');
		this._fail(stoppingRefusal);
	}

	/** Ends the request, since handling it failed in a way that no code expects. Other requests go on. */
	onInternalError(error: unknown): void {
		const {log} = this._context;
		log.write({event: 'error', step: 'request', error: String(error)});
		if (this._isEnded) {
			return;
		}

		const {_attempt: attempt} = this;
		attempt?.call?.abort();
		this._mayHaveRun ||= attempt?.isSent ?? false;
		this._endAttempt('internal error');
		this._fail(unavailable('internal'));
	}

	/** Ends the request, since its caller's connection has closed, or will before its response. */
	onCallerClosed(): void {
		if (this._isEnded) {
			return;
		}

		this._attempt?.call?.abort();
		this._attempt?.exposure?.onLeft();
		this._mayHaveRun ||= this._attempt?.isSent ?? false;
		this._noteUnanswered();
		this._endAttempt('caller left');
		this._finish({
			status: 0,
			reason: 'callerLeft',
			isNotRun: !this._mayHaveRun,
		});
	}

	/** Finds out where a stream began that the caller resumes. Returns whether the request can go on. */
	private async _findOrigin(): Promise<boolean> {
		const {resumes, lastEventId} = this._metadata;
		const isResumption = resumes !== undefined || lastEventId !== undefined;
		if (!this._route!.isResumable || !isResumption) {
			return true;
		}

		const resumption = await this._context.streams.find({
			id: resumes,
			service: this._service ?? '',
			limitMs: this._limitMs,
		});
		this._record.noteResumption(resumption);
		if (resumption.kind === 'known') {
			this._origin = resumption.origin;
		} else {
			this.refuse({
				...unavailable('streamVersionUnknown'),
				retryAfterMs: unknownStreamRetryAfterMs,
			});
		}

		return !this._isEnded;
	}

	private async _reserve(
		customer: CustomerRule,
		units: number,
	): Promise<Reservation> {
		const {metrics, clock} = this._context;
		const startedAt = clock();
		const reservation = await reserveUnits(this._context, customer, units);
		metrics.noteQuota(reservation.grant.kind, clock() - startedAt);
		return reservation;
	}

	/** Resolves route and customer under the current configuration, which may be newer than at arrival. */
	private _authorize(): CallRefusal | undefined {
		const {authority, isFresh, isCurrent} = this._context;
		const {inForce} = authority;
		if (inForce === undefined) {
			return unavailable('configurationUnavailable');
		}

		if (!isFresh()) {
			return staleRefusal;
		}

		const path = this._path;
		const route = inForce.routes.routeOf(this._metadata.host, path);
		if (route === undefined) {
			return isCurrent() ? this._unknown(404, 'unknownRoute') : staleRefusal;
		}

		const {key} = this._metadata;
		const customer =
			key === undefined ? undefined : inForce.keys.customerOf(key);
		const isKeyNeeded = inForce.config.customers !== undefined && !route.isOpen;
		if (isKeyNeeded && customer === undefined) {
			return isCurrent() ? this._unknown(401, 'unknownKey') : staleRefusal;
		}

		this._route = route;
		this._customer = customer;
		const origin = this._origin?.service;
		this._service = route.shares.some(({service}) => service === origin)
			? origin
			: pickShare(route.shares, this._randomShare);
		return undefined;
	}

	private _unknown(status: number, reason: string): CallRefusal {
		return {status, reason, isNotRun: !this._mayHaveRun};
	}

	/** Starts an attempt on a server, or queues the request if none can take it. */
	private _assignServer(isRetry = false): void {
		if (this._isEnded) {
			return;
		}

		const refusal = this._authorize() ?? this._checkQuarantine();
		if (refusal !== undefined) {
			this._fail(refusal);
			return;
		}

		const now = this._context.clock();
		const ahead = isRetry ? undefined : this._causeAhead(now);
		const choice =
			ahead ?? this._record.noteChoice(this._chooseServer(now), now);
		if (this._isOriginGone(choice)) {
			this._fail(unavailable('streamVersionGone'));
			return;
		}

		if (choice.kind === 'send') {
			this._startAttempt(choice.server, now);
			return;
		}

		if (choice.kind === 'tooLate') {
			const {kind, delayMs} = choice;
			this._fail({...unavailable(kind), retryAfterMs: delayMs});
			return;
		}

		if (this._attemptedServers.size > 0 && choice.kind === 'noServer') {
			this._fail(this._unavailableServer('noServerLeft'));
			return;
		}

		this._waitForServer(choice, ahead !== undefined, now);
	}

	/** What the request waits for without a choice of a server, as others that wait for the same come first. */
	private _causeAhead(now: number): WaitChoice | undefined {
		const key = waitKeyOf(this._serverNeed(now));
		const kind = this._context.waitQueue.causeAhead(key);
		return kind && {kind};
	}

	/**
	 * Whether the stream can't go on: its route has left the service where it began, or no server of the software version
	 * that began it is listed.
	 */
	private _isOriginGone(choice: ServerChoice): boolean {
		if (this._origin === undefined) {
			return false;
		}

		const {service, softwareVersion} = this._origin;
		return (
			service !== this._service ||
			(choice.kind === 'noServer' &&
				!this._context.fleet.hasSoftwareVersion(service, softwareVersion))
		);
	}

	private _chooseServer(now: number): ServerChoice {
		return this._context.fleet.choose(this._serverNeed(now), now);
	}

	private _serverNeed(now: number): ServerNeed {
		const {model, adapter, session, tokens, promptTokens} = this._metadata;
		this._output ??= startOutput(this._context, this._metadata, {
			route: this._route!.name,
			customer: this._customer?.name,
		});
		return {
			service: this._service ?? '',
			model,
			adapter,
			session,
			tokens: tokens ?? 0,
			promptTokens: promptTokens ?? 0,
			// Only an agent knows how long a prompt of this priority and customer waits, so the first one is asked.
			maxPromptWaitMs: this._hasLateTurn
				? this._maxPrefillWaitMs(now)
				: Number.POSITIVE_INFINITY,
			remainingMs: this._deadlineAt - now,
			...(this._output && {output: this._output}),
			tried: this._attemptedServers,
			...(this._origin && {softwareVersion: this._origin.softwareVersion}),
		};
	}

	/** Refusal of a request that no server took. If all turn requests away for a time, it says when one takes them again. */
	private _unavailableServer(reason: string): CallRefusal {
		const {fleet, clock} = this._context;
		const now = clock();
		const suspensionMs = fleet.suspensionMs(this._serverNeed(now), now);
		const refusal = unavailable(reason);
		return suspensionMs > 0
			? {...refusal, retryAfterMs: suspensionMs}
			: refusal;
	}

	/** @param isBehind whether no server was looked for, as others wait for the same */
	private _waitForServer(
		choice: WaitChoice,
		isBehind: boolean,
		now: number,
	): void {
		const {_context: context, _metadata: metadata} = this;
		const subject = this._waitSubject;
		this._record.noteWait(choice.kind, now);
		const refusal = refuseBeforeWait(context, metadata, choice, subject);
		if (refusal !== undefined) {
			this._fail(refusal);
			return;
		}

		const {fleet, waitQueue} = context;
		const waiter = createWaiter(this._serverNeed(now), subject, {
			cause: choice.kind,
			workMs: fleet.workMs(this._service ?? '') ?? 0,
			retry: () => {
				this._waiter = undefined;
				this._assignServer(true);
				return this._waiter;
			},
		});
		this._waiter = waiter;
		if (isBehind) {
			waitQueue.addBehind(waiter);
		} else {
			waitQueue.add(waiter);
		}

		if (
			choice.kind === 'serversSuspended' ||
			choice.kind === 'serversLimited'
		) {
			waitQueue.wakeAt(waiter, now + choice.delayMs);
		}

		clearTimeout(this._deadlineTimer);
		this._deadlineTimer = setTimeout(() => {
			this._onDeadline();
		}, this._waitDeadlineAt - now);
	}

	private get _waitSubject(): WaitSubject {
		return {
			arrivedAt: this._arrivedAt,
			deadlineAt: this._deadlineAt,
			waitDeadlineAt: this._waitDeadlineAt,
			isFirstWait: this._record.waitedFor === undefined,
			hasLateTurn: this._hasLateTurn,
			route: this._route!,
			customer: this._customer,
			tokens: this._metadata.tokens ?? this._customer?.plainTokens ?? 1,
			hasBegun: this._res.headersSent,
		};
	}

	private _startAttempt(server: string, now: number): void {
		const {fleet} = this._context;
		fleet.server(server)!.noteSent(this._adapterKey, now, this._output);
		if (this._metadata.session !== undefined) {
			fleet.noteSession(this._metadata.session, server);
		}

		const attempt = createAttempt(server);
		this._attempt = attempt;
		clearTimeout(this._deadlineTimer);
		this._deadlineTimer = setTimeout(() => {
			this._onDeadline();
		}, this._deadlineAt - now);
		if (this._metadata.model === undefined) {
			this._send(attempt);
		} else {
			this._awaitTurn(attempt);
		}
	}

	/** Waits until the engine can prefill the prompt without stalling the streams that it generates. */
	private _awaitTurn(attempt: Attempt): void {
		const {fleet, agentClient, clock, prefillWaiting, metrics} = this._context;
		const {server} = attempt;
		attempt.turn = EngineTurn.create({
			agentClient,
			waiting: prefillWaiting,
			clock,
			server,
			adapter: this._adapterKey,
			need: createTurnNeed({
				route: this._route!,
				customer: this._customer,
				promptTokens: this._metadata.promptTokens ?? 0,
				arrivedAt: this._arrivedAt,
				hasBegun: this._res.headersSent,
			}),
			since: (this._turnSince ??= clock()),
			maxWaitMs: now => this._maxPrefillWaitMs(now),
			hasSooner: remainingMs => {
				const need = {...this._serverNeed(clock()), waitsAt: server};
				return hasSoonerEngine(fleet, need, remainingMs, clock());
			},
			onMove: () => {
				this._endAttempt('moved to a sooner engine');
				this._assignServer();
			},
			onWait: () => {
				this._record.noteWait('promptQueue', clock());
			},
			onEnded: (outcome, estimateMs) => {
				this._record.noteTurn(outcome, estimateMs);
				metrics.noteTurn(outcome);
			},
			onDue: tokensAhead => {
				attempt.tokensAhead = tokensAhead;
				this._turnSince = undefined;
				this._send(attempt);
			},
			onTooLate: delayMs => {
				fleet.server(server)?.notePromptDelay(delayMs, clock());
				this._hasLateTurn = true;
				this._endAttempt('turn too late');
				this._assignServer();
			},
		});
		attempt.turn.start();
	}

	/**
	 * Maximum time that the prompt may still wait for prefill, in milliseconds. Once the response headers are sent, the
	 * share applies to the time that is left, so a resumed stream can continue until the deadline.
	 */
	private _maxPrefillWaitMs(now: number): number {
		const from = this._res.headersSent ? now : this._arrivedAt;
		const latestAt = from + (this._deadlineAt - from) * maxPrefillWaitShare;
		return Math.max(0, latestAt - now);
	}

	private _send(attempt: Attempt): void {
		void this._sendIfPresent(attempt).catch((error: unknown) => {
			this.onInternalError(error);
		});
	}

	/**
	 * Reads first whether the caller has left: after a stall of the event loop, timers end waits before the closes of
	 * connections are read. Checks the authorization and the server again, since they may have changed meanwhile, then
	 * dispatches.
	 */
	private async _sendIfPresent(attempt: Attempt): Promise<void> {
		const isPermitted = await this._context.serverLimits.take(attempt.server);
		if (this._attempt !== attempt) {
			return;
		}

		if (!isPermitted) {
			this._endAttempt('not sent: server limit');
			this._assignServer();
			return;
		}

		const turns = turnsBeforeSend(this._context.isCatchingUp());
		const hasLeft = await hasCallerLeft(this._req.socket, turns);
		if (this._attempt !== attempt) {
			return;
		}

		if (hasLeft) {
			this.onCallerClosed();
			return;
		}

		const refusal = this._authorize();
		if (refusal !== undefined) {
			this._endAttempt('not sent: no longer authorized');
			this._fail(refusal);
			return;
		}

		if (!this._isStillUsable(attempt.server)) {
			this._endAttempt('not sent: server takes no requests');
			this._assignServer();
			return;
		}

		if (this._versionToExpect(attempt).kind === 'outdated') {
			this._endAttempt('not sent: adapter version outdated');
			this._assignServer();
			return;
		}

		this._dispatch(attempt);
	}

	private _versionToExpect({server}: Attempt): VersionToExpect {
		const {fleet, clock} = this._context;
		return fleet.versionToExpect(server, this._metadata, clock());
	}

	/** Whether an assigned server still takes the request, and has not restarted with other software meanwhile. */
	private _isStillUsable(id: string): boolean {
		const {fleet, clock} = this._context;
		const softwareVersion = this._origin?.softwareVersion;
		return (
			fleet.isUsable(id, clock()) &&
			(softwareVersion === undefined ||
				fleet.server(id)?.softwareVersion === softwareVersion)
		);
	}

	private _dispatch(attempt: Attempt): void {
		const {fleet, retries, upstream, codec, maxConnections, clock} =
			this._context;
		const late = this._checkDispatch();
		if (late !== undefined) {
			this._endAttempt(`not sent: ${late.reason}`);
			this._fail(late);
			return;
		}

		const now = clock();
		const {service, address} = fleet.server(attempt.server)!.record;
		if (!this._hasCountedRequest) {
			this._hasCountedRequest = true;
			retries.noteRequest(service);
		} else if (this._hasSent && !this._takeRetry(service)) {
			this._endAttempt('not sent: retry budget exhausted');
			this._fail(unavailable('retryBudget'));
			return;
		}

		this._record.noteDispatch(now);
		this._noteAdapterVersions(attempt.server, now);
		this._attemptedServers.add(attempt.server);
		attempt.turn?.use();
		const toExpect = this._versionToExpect(attempt);
		attempt.expectedVersion =
			toExpect.kind === 'exactly' ? toExpect.version : undefined;
		const headers = codec.encodeForward(this._req.rawHeaders, {
			server: attempt.server,
			deadlineMs: Math.max(1, Math.floor(this._deadlineAt - now)),
			customer: this._customer?.name,
			adapterVersion: attempt.expectedVersion,
			urgency: this._customer?.priority ?? this._route?.priority ?? 0,
			lastEventId: this._lastEventId,
		});
		attempt.call = upstream.send(
			{
				server: attempt.server,
				address,
				maxConnections: maxConnections(service),
				method: this._req.method ?? 'GET',
				path: this._req.url ?? '/',
				headers,
				body: this._body,
			},
			this._createSink(attempt),
		);
	}

	/** Takes a retry of the service, unless the request has one. Returns whether the limit on retries allowed it. */
	private _takeRetry(service: string): boolean {
		if (this._retryTaken === service) {
			return true;
		}

		this._giveBackRetry();
		if (!this._context.retries.tryTake(service)) {
			return false;
		}

		this._retryTaken = service;
		return true;
	}

	private _noteRetrySent(): void {
		if (this._retryTaken !== undefined) {
			this._context.retries.noteSent(this._retryTaken);
			this._retryTaken = undefined;
		}
	}

	private _giveBackRetry(): void {
		if (this._retryTaken !== undefined) {
			this._context.retries.giveBack(this._retryTaken);
			this._retryTaken = undefined;
		}
	}

	private _noteAdapterVersions(server: string, now: number): void {
		const {fleet, authority} = this._context;
		const {model, adapter} = this._metadata;
		if (model === undefined || adapter === undefined) {
			return;
		}

		const held = fleet.server(server)?.adapterVersion(model, adapter, now);
		const declared = authority.newestVersion(model, adapter);
		this._record.noteAdapterVersions({
			...(held !== undefined && {adapterVersion: held}),
			...(declared !== undefined && {declaredVersion: declared}),
		});
	}

	/** Returns the refusal of a request that may no longer be sent to a server. */
	private _checkDispatch(): CallRefusal | undefined {
		const {clock, epoch, shutdown} = this._context;
		if (shutdown.hasEnded) {
			return stoppingRefusal;
		}

		const limits = {deadlineAt: this._deadlineAt, epoch: this._epoch};
		const check = checkDispatch(limits, clock(), epoch());
		if (check === 'allowed') {
			return this._checkQuarantine();
		}

		return unavailable(check === 'tooLate' ? 'deadline' : 'suspended');
	}

	/** Returns the refusal of a request that crashed servers, or that has a part which did, here or at another entry. */
	private _checkQuarantine(): CallRefusal | undefined {
		const {suspects, clock} = this._context;
		const retryAfterMs = suspects.quarantinedForMs(this._fingerprint, clock());
		if (retryAfterMs > 0) {
			return {...unavailable('quarantined'), retryAfterMs};
		}

		const verdict = this._checkParts();
		return verdict.kind === 'quarantined'
			? {
					...unavailable('quarantined'),
					retryAfterMs: verdict.retryAfterMs,
					quarantinedPart: verdict.part,
				}
			: undefined;
	}

	private _checkParts(): PartVerdict {
		const {partQuarantine, clock} = this._context;
		return partQuarantine.check(this._parts, this._wasInterrupted, clock());
	}

	/** Watches what becomes of the parts of the prompt at the server. Begins the trial of one that is due. */
	private _expose(attempt: Attempt): void {
		const {fleet, partQuarantine, clock} = this._context;
		const parts = this._parts;
		if (parts.length === 0) {
			return;
		}

		const verdict = this._checkParts();
		if (verdict.kind === 'trial') {
			const {callId} = this._metadata;
			partQuarantine.startTrial(verdict.part, callId, clock());
		}

		const {server} = attempt;
		attempt.exposure = partQuarantine.add({
			parts,
			start: {server, born: fleet.server(server)?.born ?? 0},
			recall: () => {
				if (this._attempt === attempt) {
					this._recall(attempt, 'quarantined');
				}
			},
		});
	}

	/** Creates the sink of an attempt. Drops the events of an attempt that is no longer the current one. */
	private _createSink(attempt: Attempt): UpstreamSink {
		const isCurrent = () => this._attempt === attempt;
		return {
			onSending: () => {
				if (isCurrent() && isCallerGone(this._req.socket)) {
					this.onCallerClosed();
					return false;
				}

				const late = this._checkDispatch();
				const {fleet, clock} = this._context;
				const isTaken =
					this._isStillUsable(attempt.server) &&
					fleet.mayDispatch(attempt.server, clock());
				const isVersionAccepted = fleet.acceptsHeaders(
					attempt.server,
					this._metadata,
					attempt.expectedVersion,
					clock(),
				);
				if (isCurrent() && late === undefined && isTaken && isVersionAccepted) {
					attempt.isSent = true;
					this._hasSent = true;
					this._noteRetrySent();
					attempt.sentAt = this._context.clock();
					fleet.server(attempt.server)?.noteDispatched(clock());
					this._watchVersion(attempt);
					this._watchDeparture(attempt);
					this._expose(attempt);
					return true;
				}

				if (isCurrent() && late !== undefined) {
					this._endAttempt(`not sent: ${late.reason}`);
					this._fail(late);
				} else if (isCurrent()) {
					this._attemptedServers.delete(attempt.server);
					this._endAttempt(
						isTaken
							? 'not sent: adapter version outdated'
							: 'not sent: server takes no requests',
					);
					this._assignServer();
				}

				return false;
			},
			onHeaders: (status, headers, framing, isFirstOnConnection) => {
				const {fleet, clock, codec} = this._context;
				fleet.server(attempt.server)?.noteActivity(clock());
				const {callId} = this._metadata;
				const decoded = codec.decodeResponse(status, headers, callId);
				const {isGenuine, isUnnamed} = decoded;
				const response = {
					...decoded,
					isGenuine: isGenuine && (isFirstOnConnection || !isUnnamed),
				};
				this._noteServerState(attempt.server, response);
				this._noteLoad(attempt, response);
				this._noteLimit(attempt, response);
				if (isCurrent()) {
					attempt.framing = framing;
					this._onHeaders(attempt, status, headers, response);
				}
			},
			onData: chunk => !isCurrent() || this._onData(attempt, chunk),
			onEnd: () => {
				if (isCurrent()) {
					this._onEnd(attempt);
				}
			},
			onError: err => {
				if (isCurrent()) {
					this._onAttemptFailed(attempt, err);
				}
			},
		};
	}

	/** Watches until the first part of the response whether the request may still begin on the server's version. */
	private _watchVersion(attempt: Attempt): void {
		const {fleet, sentCalls, clock} = this._context;
		const {model, adapter} = this._metadata;
		if (model === undefined || adapter === undefined) {
			return;
		}

		attempt.sent = sentCalls.add({
			model,
			adapter,
			version: () =>
				attempt.expectedVersion ??
				fleet.server(attempt.server)?.adapterVersion(model, adapter, clock()),
			recall: () => {
				if (this._attempt === attempt) {
					this._recall(attempt, 'adapterOutdated');
				}
			},
		});
	}

	/** Watches whether the server is taken away before the request ends, which may then go on at another one. */
	private _watchDeparture(attempt: Attempt): void {
		const {size} = this._attemptedServers;
		if (this._isRepeatable && size < this._route!.maxAttempts) {
			attempt.departing = this._context.departing.add({
				server: attempt.server,
				service: this._service!,
				priority: this._customer?.priority ?? this._route!.priority,
				deadlineAt: this._deadlineAt,
				move: isDue => {
					this._move(attempt, isDue);
				},
			});
		}
	}

	/** Moves the request if it is due, another server takes it and a retry is left. Has its adapter loaded elsewhere. */
	private _move(attempt: Attempt, isDue: boolean): void {
		const now = this._context.clock();
		const isTaken = this._canGoOn && this._chooseServer(now).kind === 'send';
		if (!isTaken || !isDue) {
			return;
		}

		if (this._takeRetry(this._service!)) {
			this._eventSplitter?.takePartialEvent();
			this._recall(attempt, 'serverDeparting');
		}
	}

	/** Takes the request back from its server. It may have begun there without a sign of it. */
	private _recall(attempt: Attempt, reason: keyof typeof recallOutcomes): void {
		attempt.call?.abort();
		this._mayHaveRun = true;
		this._endAttempt(recallOutcomes[reason]);
		const now = this._context.clock();
		this._waitDeadlineAt = now + (this._deadlineAt - now) * maxWaitShare;
		this._retry(badGateway(reason), this._isRepeatable);
	}

	private _onHeaders(
		attempt: Attempt,
		status: number,
		headers: IncomingHttpHeaders,
		response: ResponseMetadata,
	): void {
		if (!response.isGenuine) {
			this._onUnusableResponse(
				attempt,
				new Error('response does not belong to this request'),
			);
			return;
		}

		if (response.isNotRun) {
			this._noteServerRefusal(attempt.server, status);
			if (response.isUnnamed) {
				// Without its connection, it can't come again and be taken for a response to another request.
				attempt.call?.abort();
			} else {
				attempt.call?.discard();
			}

			this._endAttempt(`refused ${status}`);
			this._retry(this._unavailableServer('serverRefused'), true);
			return;
		}

		this._mayHaveRun = true;
		attempt.exposure?.onHead();
		if (this._res.headersSent) {
			if (status !== 200) {
				attempt.call?.abort();
				this._endAttempt(`no resumption, ${status}`);
				this.refuse(badGateway('streamBroken'));
			}

			return;
		}

		if (isEventStream(headers['content-type'])) {
			this._eventSplitter = EventStreamSplitter.create();
		} else {
			this._context.usage?.countBegun(this._record, this._customer, attempt);
		}

		if (attempt.framing === 'connection') {
			// Chunks would mark an end that the entry can't be sure of.
			this._res.useChunkedEncodingByDefault = false;
			this._resetIfProcessEnds();
		}

		if (attempt.framing === 'connection' || this._isLastOnConnection) {
			this._onCloseAnnounced();
		}

		const forwarded = forwardedHeaders(headers, this._isLastOnConnection);
		this._res.writeHead(status, forwarded);
		this._res.flushHeaders();
	}

	/**
	 * Lets the system reset the caller's connection if the process ends before the whole response is written. A close in
	 * order would look like the end of the response.
	 */
	private _resetIfProcessEnds(): void {
		const {socket} = this._req;
		const {abortiveClose} = this._context;
		abortiveClose.set(socket, true);
		// Before the listener by which Node.js closes the connection.
		this._res.prependOnceListener('finish', () => {
			abortiveClose.set(socket, false);
		});
	}

	/** Records what a response says of its server, whichever request it is for. */
	private _noteServerState(
		server: string,
		{isLeaving, suspension}: ResponseMetadata,
	): void {
		const {fleet, log, metrics, clock, random, onServerLeaving} = this._context;
		if (isLeaving && fleet.noteLeaving(server, clock())) {
			onServerLeaving(server);
		}

		if (suspension === undefined) {
			return;
		}

		metrics.noteSuspension(suspension.kind);
		if (suspension.kind === 'valid') {
			const {forMs} = suspension;
			fleet.noteSuspension(server, forMs, random(), clock());
			log.write({event: 'serverSuspended', server, forMs});
		} else {
			log.write({event: 'serverSuspended', server, value: suspension.value});
		}
	}

	/** Records the load that a server tells, and how long the work of a plain service took. */
	private _noteLoad(
		{server, sentAt}: Attempt,
		{load, isNotRun, isGenuine}: ResponseMetadata,
	): void {
		if (load !== undefined && isGenuine) {
			const now = this._context.clock();
			const isWorkDone = !isNotRun && this._metadata.model === undefined;
			const elapsedMs =
				!isWorkDone || sentAt === undefined ? undefined : now - sentAt;
			this._context.fleet.noteLoad(server, load, elapsedMs, now);
			if (load.slowdown !== undefined && this._metadata.model !== undefined) {
				this._context.agentClient.sendPace(server, load.slowdown);
			}
		}
	}

	/** Records the limit that a response names. Only a response to a request that ran says that there is none any more. */
	private _noteLimit(
		{server, sentAt = 0}: Attempt,
		{limitPerSecond, isNotRun, isGenuine}: ResponseMetadata,
	): void {
		if (limitPerSecond !== undefined || (isGenuine && !isNotRun)) {
			this._context.serverLimits.note(server, limitPerSecond, sentAt);
		}
	}

	/** A server that lacks the adapter is healthy. One that refuses for another reason is avoided for a while. */
	private _noteServerRefusal(server: string, status: number): void {
		const {fleet, clock} = this._context;
		const state = fleet.server(server);
		const key = this._adapterKey;
		if (status === misdirectedStatus && key !== undefined) {
			state?.noteRefusedAdapter(key);
		} else {
			state?.markSuspected(clock());
		}
	}

	private _onData(attempt: Attempt, chunk: Uint8Array): boolean {
		const now = this._context.clock();
		this._record.noteBytes(now);
		attempt.sent?.dispose();
		this._notePrefill(attempt, now);
		if (this._eventSplitter === undefined) {
			return this._write(chunk);
		}

		const {bytes, lastEventId, events, isInOrder} = this._eventSplitter.push(
			chunk,
			this._lastEventId,
		);
		this._output?.noteEvents(events, now);
		this._lastEventId = lastEventId ?? this._lastEventId;
		if (bytes.length > 0 && attempt.hasEvents) {
			attempt.exposure?.onProgress();
		} else if (bytes.length > 0) {
			attempt.hasEvents = true;
			this._onFirstEvent(attempt);
		}

		const isWritable = bytes.length === 0 || this._write(bytes);
		if (!isInOrder) {
			this._onUnusableResponse(
				attempt,
				new Error('an event does not follow the one before'),
			);
			return true;
		}

		if (this._eventSplitter.isEventTooLong) {
			this._onEndlessEvent(attempt, this._eventSplitter.partialEventBytes);
			return true;
		}

		return isWritable;
	}

	/**
	 * From its first event on, a stream may go on only at the software version that wrote it, also at other entries. One
	 * that the caller resumed is recorded again, as entries that knew its origin may be gone.
	 */
	private _onFirstEvent(attempt: Attempt): void {
		this._context.usage?.countBegun(this._record, this._customer, attempt);
		const state = this._context.fleet.server(attempt.server);
		const softwareVersion = state?.softwareVersion ?? '';
		this._record.noteWriter(softwareVersion);
		this._origin ??= {
			service: state?.record.service ?? this._service ?? '',
			softwareVersion,
		};
		const id = this._metadata.resumes ?? this._metadata.callId;
		if (
			this._route!.isResumable &&
			id !== undefined &&
			this._origin.softwareVersion !== ''
		) {
			this._context.streams.noteFirstEvent(id, this._origin, this._limitMs);
		}
	}

	private _onEndlessEvent(attempt: Attempt, bytes: number): void {
		const err = EndlessResponseError.create('event', bytes);
		this._context.onEndlessResponse(attempt.server, err);
		this._onUnusableResponse(attempt, err);
	}

	/** Reports the time to the first part of the response to the server's agent, once for each attempt. */
	private _notePrefill(attempt: Attempt, now: number): void {
		const {server, sentAt, tokensAhead} = attempt;
		if (sentAt === undefined || tokensAhead === undefined) {
			return;
		}

		attempt.sentAt = undefined;
		this._context.fleet.server(server)?.notePrefill({
			tokens: this._metadata.promptTokens ?? 0,
			tokensAhead: Math.round(tokensAhead),
			firstEventMs: Math.round(now - sentAt),
		});
	}

	private _write(bytes: Uint8Array): boolean {
		if (this._res.write(bytes)) {
			return true;
		}

		if (!this._isPaused) {
			this._isPaused = true;
			this._res.once('drain', () => {
				// A caller that reads fast drains each write in the same turn of the event loop, and would take all of it.
				setImmediate(() => {
					this._isPaused = false;
					this._memory.noteUnread(0);
					this._attempt?.call?.resume();
				});
			});
			this._noteUnread();
		}

		return false;
	}

	/** Counts what the caller has not read of the response, and what waits behind it on the connection to the server. */
	private _noteUnread(): void {
		this._unreadSince = this._context.clock();
		const behind = this._isPaused ? unreadConnectionBytes : 0;
		this._memory.noteUnread(this._res.writableLength + behind);
	}

	private _onEnd(attempt: Attempt): void {
		if (attempt.framing === undefined) {
			this._onAttemptFailed(
				attempt,
				new Error('response ended before its headers'),
			);
			return;
		}

		if ((this._eventSplitter?.partialEventBytes ?? 0) > 0) {
			this._onAttemptFailed(attempt, new Error('ended inside an event'));
			return;
		}

		attempt.exposure?.onProgress();
		this._endAttempt(`answered${this._describeEnd(attempt)}`);
		if (attempt.framing === 'connection' && isFramed(this._res)) {
			// The stream was resumed, and the end of a chunked response would say that it is complete.
			this._fail(badGateway('endUncertain'));
			return;
		}

		this._finish(undefined);
		this._res.end();
		this._noteUnread();
	}

	/** Describes for the log where a response ended that its connection delimits. */
	private _describeEnd({framing}: Attempt): string {
		if (framing !== 'connection') {
			return '';
		}

		const bytes = this._eventSplitter?.partialEventBytes;
		return bytes === undefined
			? ': delimited by its connection'
			: `: delimited by its connection, ${bytes} bytes into an event`;
	}

	/** Handles a response that can't be passed on. Its server runs on, so the request is not suspected of a crash. */
	private _onUnusableResponse(attempt: Attempt, err: Error): void {
		attempt.call?.abort();
		attempt.exposure?.dispose();
		this._leaveServer(attempt, err);
	}

	/** Handles a connection that broke before the end of its response. */
	private _onAttemptFailed(attempt: Attempt, err: Error): void {
		this._wasInterrupted ||= attempt.framing !== undefined;
		attempt.exposure?.onBroke();
		if (attempt.isSent) {
			this._reportSuspect(attempt.server);
		}

		this._leaveServer(attempt, err);
	}

	/** Avoids the server for a while and retries on another one. */
	private _leaveServer(attempt: Attempt, err: Error): void {
		this._endAttempt(
			attempt.isSent
				? `broke: ${err.message}${this._describeEnd(attempt)}`
				: `not sent: ${err.message}`,
		);
		this._context.fleet
			.server(attempt.server)
			?.markSuspected(this._context.clock());
		this._mayHaveRun ||= attempt.isSent;
		this._eventSplitter?.takePartialEvent();
		this._retry(
			attempt.isSent
				? badGateway('serverBroke')
				: unavailable('serverUnreachable'),
			!attempt.isSent || this._isRepeatable,
		);
	}

	/**
	 * Reports the request as a suspect to all entries: it may have crashed the server, and retries must not crash one
	 * server after another.
	 */
	private _reportSuspect(server: string): void {
		const {suspects, peers, clock} = this._context;
		const fingerprint = this._fingerprint;
		suspects.noteCrash([fingerprint], server, clock());
		peers.spreadSuspect(fingerprint, server);
	}

	/** Retries on another server if that is allowed and attempts and time are left; otherwise fails the request. */
	private _retry(refusal: CallRefusal, isAllowed: boolean): void {
		if (
			isAllowed &&
			this._canGoOn &&
			this._attemptedServers.size < this._route!.maxAttempts &&
			this._context.clock() < this._deadlineAt
		) {
			this._assignServer();
		} else {
			this._fail(refusal);
		}
	}

	/** Refuses the request. Reports "not run" only if no server can have run it. */
	private _fail(refusal: CallRefusal): void {
		this.refuse(
			this._mayHaveRun
				? {...badGateway(refusal.reason), isNotRun: false}
				: refusal,
		);
	}

	private _onDeadline(): void {
		if (this._isEnded) {
			return;
		}

		const {_attempt: attempt} = this;
		if (attempt === undefined) {
			const cause = this._record.waitedFor ?? 'deadline';
			this._fail(refuseWait(this._context, this._metadata, cause));
			return;
		}

		attempt.call?.abort();
		attempt.exposure?.onLeft();
		if (!attempt.isSent) {
			this._endAttempt('not sent: deadline');
			this._fail(unavailable('deadline'));
			return;
		}

		this._mayHaveRun = true;
		this._noteUnanswered();
		this._endAttempt('deadline');
		this._fail({status: 504, reason: 'deadline', isNotRun: false});
	}

	/** Notes that the request is given up at its server, which may have gone dark under it. */
	private _noteUnanswered(): void {
		const {requestQuarantine, fleet, clock} = this._context;
		const {server: id, sentAt} = this._attempt ?? {};
		const server = id === undefined ? undefined : fleet.server(id);
		if (server !== undefined && sentAt !== undefined) {
			requestQuarantine.noteUnanswered({
				fingerprint: this._fingerprint,
				server: server.record.id,
				address: server.record.address,
				born: server.born,
				sentAt,
				leftAt: clock(),
				heardAt: server.heardAt,
			});
		}
	}

	private _endAttempt(outcome: string): void {
		const {_attempt: attempt} = this;
		if (attempt === undefined) {
			return;
		}

		this._attempt = undefined;
		attempt.sent?.dispose();
		attempt.departing?.dispose();
		attempt.exposure?.dispose();
		attempt.turn?.dispose();
		this._record.noteAttempt(attempt.server, outcome);
		const {fleet, metrics} = this._context;
		const server = fleet.server(attempt.server);
		server?.noteEnded(this._adapterKey, this._output);
		const [outcomeLabel = ''] = outcome.split(':', 1);
		metrics.noteAttempt(server?.record.service ?? 'gone', outcomeLabel);
		this._context.waitQueue.wakeForEnd(attempt.server);
	}

	private _finish(refusal: CallRefusal | undefined): void {
		this._isEnded = true;
		this._body = noBody;
		this._memory.noteBody(0);
		if (this._readAt !== undefined) {
			this._onEnded();
		}

		this._giveBackRetry();
		clearTimeout(this._deadlineTimer);
		if (this._waiter !== undefined) {
			this._context.waitQueue.remove(this._waiter);
		}

		if (this._reserved !== undefined && !this._mayHaveRun) {
			const {customer, units} = this._reserved;
			this._context.peers.returnUnits(customer, units);
		}

		this._log(refusal);
	}

	private _log(refusal: CallRefusal | undefined): void {
		const {clock, log, metrics, proofAgeMs, authority} = this._context;
		const event = this._record.toEvent({
			id: this._metadata.callId,
			arrivedAt: this._arrivedAt,
			endedAt: clock(),
			status: refusal?.status ?? this._res.statusCode,
			refusal,
			route: this._route?.name,
			customer: this._customer?.name,
			adapter: this._adapterKey,
			configVersion: authority.inForce?.config.version,
			proofAgeMs: proofAgeMs(),
			resumes: this._metadata.resumes,
			resumedAfter: this._metadata.lastEventId,
			...endOutput(this._output, refusal === undefined, clock()),
		});
		log.write(event);
		metrics.noteRequest(event);
	}

	private _unitsOf(customer: CustomerRule): number {
		return customer.isMeteredInTokens
			? (this._metadata.tokens ?? customer.plainTokens)
			: 1;
	}

	/** Whether the entry stops and the response ends its connection, as no request waits behind it for its response. */
	private get _isLastOnConnection(): boolean {
		return this._context.shutdown.isStopping && !this._sharesConnection();
	}

	/** Digest of customer, URL and body: equal for repeated requests. */
	private get _fingerprint(): string {
		this._cachedFingerprint ??= createHash('sha256')
			.update(`${this._customer?.name ?? ''} ${this._req.url ?? ''} `)
			.update(this._body)
			.digest('base64');
		return this._cachedFingerprint;
	}

	/** Parts of the prompt that other requests share, at the service. */
	private get _parts(): readonly string[] {
		const {promptParts = []} = this._metadata;
		return promptParts.map(id => `${this._service ?? ''}/${id}`);
	}

	private get _path(): string {
		const url = this._req.url ?? '/';
		const query = url.indexOf('?');
		return query === -1 ? url : url.slice(0, query);
	}

	/** Longest time for which the caller may wait for its stream, in milliseconds. */
	private get _limitMs(): number {
		return Math.max(this._route!.timeoutMs, this._metadata.deadlineMs ?? 0);
	}

	/** Whether another server's response can be passed on, which goes on where that of the last one ended. */
	private get _canGoOn(): boolean {
		return (
			!this._res.headersSent ||
			(this._eventSplitter !== undefined && this._route!.isResumable)
		);
	}

	private get _isRepeatable(): boolean {
		return this._route!.kind === 'idempotent' || this._route!.isResumable;
	}

	private get _adapterKey(): string | undefined {
		const {model, adapter} = this._metadata;
		return model !== undefined && adapter !== undefined
			? adapterKey(model, adapter)
			: undefined;
	}
}
