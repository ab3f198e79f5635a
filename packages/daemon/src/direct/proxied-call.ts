import {createHash} from 'node:crypto';
import type {
	IncomingHttpHeaders,
	IncomingMessage,
	ServerResponse,
} from 'node:http';
import {
	adapterKey,
	EventStreamCutter,
	mayTakeWhileStopping,
	pickShare,
	type CustomerRule,
	type RouteRule,
	type ServerChoice,
} from '@balsamtray/core';
import {broken, unavailable, type CallRefusal} from './call-refusal.js';
import {
	elsewhereRetryAfterMs,
	longestTurnShare,
	longestWaitShare,
	shortestTurnMs,
} from './constants.js';
import type {CallContext} from './call-context.js';
import {CallRecord} from './call-record.js';
import type {Reservation} from './entry-peers.js';
import type {CallFacts} from './types.js';
import type {UpstreamCall, UpstreamSink} from './upstream.js';
import type {Waiter} from './waiting-line.js';

/** A caller's request, with where its answer goes. */
export type CallExchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly facts: CallFacts;
	/** Time at which the head of the request was read. */
	readonly arrivedAt: number;
};

/** One send of the request to a server. */
type Send = {
	readonly server: string;
	/** Version of the adapter that the server must have, where an older one would be wrong. */
	readonly version: number | undefined;
	/** Prompt tokens of a turn that was taken and not used yet. */
	turnTokens: number | undefined;
	/** Whether it waits for its turn. */
	isInTurn: boolean;
	/** Undefined until it is dispatched. */
	call: UpstreamCall | undefined;
	/** Whether a connection took it, so that it may run. */
	isSent: boolean;
	hasAnswered: boolean;
};

/** Headers that concern one connection only. */
const connectionHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'transfer-encoding',
	'upgrade',
	'te',
	'trailer',
]);

/** Status of a server that is another one, or lacks what the request needs. */
const misdirectedStatus = 421;

/** Takes one request of a caller to a server and its answer back. */
export class ProxiedCall {
	static create(context: CallContext, exchange: CallExchange): ProxiedCall {
		return new ProxiedCall(context, exchange);
	}

	private readonly _req: IncomingMessage;
	private readonly _res: ServerResponse;
	private readonly _facts: CallFacts;
	private readonly _arrivedAt: number;
	private _route: RouteRule | undefined;
	private _service: string | undefined;
	private _customer: CustomerRule | undefined;
	private _body: Uint8Array = new Uint8Array(0);
	private _reservedUnits = 0;
	private _send: Send | undefined;
	private _cutter: EventStreamCutter | undefined;
	private _lastEventId: string | undefined;
	private _waiter: Waiter | undefined;
	private _waitUntil = 0;
	private _timer: NodeJS.Timeout | undefined;
	private _turnTimer: NodeJS.Timeout | undefined;
	private _deadlineAt = 0;
	private _isEnded = false;
	/** Whether some server may have run the request. */
	private _mayHaveRun = false;
	private _hasCounted = false;
	private _knownFingerprint: string | undefined;
	private readonly _tried = new Set<string>();
	private readonly _record = CallRecord.create();
	/** Keeps the request with one of its route's services, however often it is decided. */
	private readonly _draw: number;

	private constructor(
		private readonly _context: CallContext,
		{req, res, facts, arrivedAt}: CallExchange,
	) {
		this._req = req;
		this._res = res;
		this._facts = facts;
		this._arrivedAt = arrivedAt;
		this._draw = _context.draw();
		this._lastEventId = facts.lastEventId;
		res.on('close', () => {
			this._onClosed();
		});
		// A write can meet a connection that broke in the same turn; its close follows.
		res.on('error', () => {
			this._onClosed();
		});
	}

	/** Finds route and customer before the body is read. Returns whether the request goes on. */
	admit(): boolean {
		const refusal = this._authorize();
		if (refusal !== undefined) {
			this.refuse(refusal);
			return false;
		}

		const shutdown = this._context.shutdown();
		const {kind, timeoutMs} = this._route!;
		if (shutdown !== undefined && !mayTakeWhileStopping(kind, shutdown)) {
			this.refuse({
				...unavailable('stopping'),
				retryAfterMs: elsewhereRetryAfterMs,
			});
			return false;
		}

		this._deadlineAt =
			this._arrivedAt +
			Math.min(timeoutMs, this._facts.deadlineMs ?? timeoutMs);
		const leftMs = this._deadlineAt - this._context.clock();
		this._waitUntil =
			this._arrivedAt + (this._deadlineAt - this._arrivedAt) * longestWaitShare;
		this._timer = setTimeout(
			() => {
				this._onDeadline();
			},
			Math.max(0, leftMs),
		);
		return true;
	}

	/** Goes on with the whole body. */
	async run(body: Uint8Array): Promise<void> {
		this._body = body;
		const customer = this._customer;
		if (customer !== undefined) {
			const units = this._unitsOf(customer);
			const {grant, owner} = await this._reserve(customer, units);
			if (this._isEnded) {
				if (grant.kind === 'granted') {
					this._context.peers.giveBack(customer.name, units);
				}

				return;
			}

			if (grant.kind === 'refused') {
				this._record.noteRate(owner, grant.level);
				this.refuse({
					status: 429,
					reason: 'overRate',
					isNotRun: true,
					retryAfterMs: grant.retryAfterMs,
				});
				return;
			}

			this._reservedUnits = units;
		}

		this._place();
	}

	/** Ends the request without a whole answer. */
	refuse(refusal: CallRefusal): void {
		if (this._isEnded) {
			return;
		}

		const {status, reason, isNotRun} = refusal;
		if (this._res.headersSent) {
			this._end(refusal);
			this._res.destroy();
			return;
		}

		this._end(refusal);
		this._res.statusCode = status;
		this._res.setHeader('content-type', 'application/json');
		if (refusal.retryAfterMs !== undefined) {
			this._res.setHeader(
				'retry-after',
				(Math.ceil(refusal.retryAfterMs) / 1000).toString(),
			);
		}

		if (!this._req.complete || this._context.shutdown() !== undefined) {
			this._res.setHeader('connection', 'close');
		}

		this._res.end(JSON.stringify({error: {code: reason, not_run: isNotRun}}));
	}

	private async _reserve(
		customer: CustomerRule,
		units: number,
	): Promise<Reservation> {
		const {peers, metrics, clock} = this._context;
		const askedAt = clock();
		const reservation = await peers.reserve(customer, units);
		metrics.noteQuota(reservation.grant.kind, clock() - askedAt);
		return reservation;
	}

	/** Decides under the present configuration, which may be newer than the one under which the request came. */
	private _authorize(): CallRefusal | undefined {
		const {authority, isFresh} = this._context;
		const {inForce} = authority;
		if (inForce === undefined) {
			return unavailable('configurationUnavailable');
		}

		if (!isFresh()) {
			return unavailable('configurationStale');
		}

		const path = this._path;
		const route = inForce.routes.routeOf(this._facts.host, path);
		if (route === undefined) {
			return {status: 404, reason: 'unknownRoute', isNotRun: !this._mayHaveRun};
		}

		const {key} = this._facts;
		const customer =
			key === undefined ? undefined : inForce.keys.customerOf(key);
		const isKeyNeeded = inForce.config.customers !== undefined && !route.isOpen;
		if (isKeyNeeded && customer === undefined) {
			return {status: 401, reason: 'unknownKey', isNotRun: !this._mayHaveRun};
		}

		this._route = route;
		this._customer = customer;
		this._service = pickShare(route.shares, this._draw);
		return undefined;
	}

	/** Sends the request to a server, or lets it wait for one. */
	private _place(): void {
		if (this._isEnded) {
			return;
		}

		const refusal = this._authorize();
		if (refusal !== undefined) {
			this._giveUp(refusal);
			return;
		}

		const now = this._context.clock();
		const quarantinedForMs = this._context.suspects.quarantinedForMs(
			this._fingerprint,
			now,
		);
		if (quarantinedForMs > 0) {
			this._giveUp({
				...unavailable('quarantined'),
				retryAfterMs: quarantinedForMs,
			});
			return;
		}

		const choice = this._choose(now);
		if (choice.kind === 'send') {
			this._sendTo(choice.server, choice.version, now);
			return;
		}

		if (this._tried.size > 0 && choice.kind === 'noServer') {
			this._giveUp(unavailable('noServerLeft'));
			return;
		}

		this._wait(choice, now);
	}

	private _choose(now: number): ServerChoice {
		const {model, adapter, session, tokens, promptTokens} = this._facts;
		return this._context.fleet.choose(
			{
				service: this._service ?? '',
				model,
				adapter,
				session,
				tokens: tokens ?? 0,
				promptTokens: promptTokens ?? 0,
				longestTurnMs: this._longestTurnMs(now),
				tried: this._tried,
			},
			now,
		);
	}

	private _wait(choice: ServerChoice, now: number): void {
		this._record.noteWait(choice.kind);
		if (now >= this._waitUntil) {
			this._giveUp({
				...unavailable(choice.kind),
				...(choice.kind === 'promptQueue' && {retryAfterMs: choice.delayMs}),
			});
			return;
		}

		const waiter: Waiter = {
			priority: this._priority,
			arrivedAt: this._arrivedAt,
			adapter: this._adapterKey,
			retry: () => {
				this._waiter = undefined;
				this._place();
			},
		};
		this._waiter = waiter;
		this._context.waiting.add(waiter);
		clearTimeout(this._timer);
		this._timer = setTimeout(() => {
			this._onDeadline();
		}, this._waitUntil - now);
	}

	private _sendTo(
		server: string,
		version: number | undefined,
		now: number,
	): void {
		const {fleet} = this._context;
		fleet.server(server)!.noteSent(this._adapterKey, now);
		if (this._facts.session !== undefined) {
			fleet.noteSession(this._facts.session, server);
		}

		const send: Send = {
			server,
			version,
			call: undefined,
			turnTokens: undefined,
			isInTurn: false,
			isSent: false,
			hasAnswered: false,
		};
		this._send = send;
		clearTimeout(this._timer);
		this._timer = setTimeout(() => {
			this._onDeadline();
		}, this._deadlineAt - now);
		if (this._facts.model === undefined) {
			this._dispatch(send);
		} else {
			void this._takeTurn(send);
		}
	}

	/** Waits until the engine can read the prompt without holding up the streams that run on it. */
	private async _takeTurn(send: Send): Promise<void> {
		const {fleet, links, clock} = this._context;
		const promptTokens = this._facts.promptTokens ?? 0;
		const delayMs = await links.takeTurn(send.server, promptTokens);
		if (this._send !== send) {
			links.returnTurn(send.server, promptTokens);
			return;
		}

		send.turnTokens = promptTokens;
		const now = clock();
		if (delayMs > this._longestTurnMs(now)) {
			fleet.server(send.server)?.noteDelay(delayMs, now);
			this._endSend('turn too late');
			this._place();
		} else if (delayMs < shortestTurnMs) {
			this._onTurn(send);
		} else {
			this._record.noteWait('promptQueue');
			send.isInTurn = true;
			this._context.inTurn.add(this._adapterKey);
			this._turnTimer = setTimeout(() => {
				this._onTurn(send);
			}, delayMs);
		}
	}

	/** Time for which the prompt may wait for its turn. An answer that has begun goes on as long as there is time. */
	private _longestTurnMs(now: number): number {
		const from = this._res.headersSent ? now : this._arrivedAt;
		const latestAt = from + (this._deadlineAt - from) * longestTurnShare;
		return Math.max(0, latestAt - now);
	}

	/** Decides again, as much may have changed since the turn was taken. */
	private _onTurn(send: Send): void {
		this._endTurn(send);
		const refusal = this._authorize();
		if (refusal !== undefined) {
			this._endSend('not sent: no longer allowed');
			this._giveUp(refusal);
			return;
		}

		if (!this._context.fleet.isUsable(send.server, this._context.clock())) {
			this._endSend('not sent: the server leaves');
			this._place();
			return;
		}

		this._dispatch(send);
	}

	private _endTurn(send: Send): void {
		if (send.isInTurn) {
			send.isInTurn = false;
			this._context.inTurn.remove(this._adapterKey);
		}
	}

	private _dispatch(send: Send): void {
		const {fleet, retries, upstream, codec, peers, maxConnections, clock} =
			this._context;
		const now = clock();
		const {service, address} = fleet.server(send.server)!.record;
		if (!this._hasCounted) {
			this._hasCounted = true;
			retries(service).noteRequest(now);
		} else if (!retries(service).tryTake(peers.entryCount, now)) {
			this._endSend('not sent: retry budget');
			this._giveUp(unavailable('retryBudget'));
			return;
		}

		this._record.noteSent(now);
		this._tried.add(send.server);
		send.turnTokens = undefined;
		const headers = codec.encodeForward(this._req.rawHeaders, {
			server: send.server,
			deadlineMs: Math.max(1, Math.floor(this._deadlineAt - now)),
			customer: this._customer?.name,
			adapterVersion: send.version,
			urgency: this._priority,
			lastEventId: this._lastEventId,
		});
		send.call = upstream.send(
			{
				server: send.server,
				address,
				maxConnections: maxConnections(service),
				method: this._req.method ?? 'GET',
				path: this._req.url ?? '/',
				headers,
				body: this._body,
			},
			this._sinkOf(send),
		);
	}

	/** Events of a send that the request has turned away from are dropped. */
	private _sinkOf(send: Send): UpstreamSink {
		const isCurrent = () => this._send === send;
		return {
			onSent() {
				send.isSent = true;
			},
			onHeaders: (status, headers) => {
				const {fleet, clock} = this._context;
				fleet.server(send.server)?.noteHeard(clock());
				if (isCurrent()) {
					this._onHeaders(send, status, headers);
				}
			},
			onData: chunk => !isCurrent() || this._onData(chunk),
			onEnd: () => {
				if (isCurrent()) {
					this._onEnd(send);
				}
			},
			onError: err => {
				if (isCurrent()) {
					this._onBroken(send, err);
				}
			},
		};
	}

	private _onHeaders(
		send: Send,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		const {codec} = this._context;
		const facts = codec.decodeAnswer(status, headers, this._facts.callId);
		if (!facts.isGenuine) {
			send.call?.abort();
			this._onBroken(send, new Error('the answer is not one to this request'));
			return;
		}

		if (facts.isNotRun) {
			this._noteRefusal(send.server, status);
			this._endSend(`refused ${status}`);
			this._retry({...unavailable('serverRefused'), status: 503}, true);
			return;
		}

		send.hasAnswered = true;
		this._mayHaveRun = true;
		if (this._res.headersSent) {
			if (status !== 200) {
				send.call?.abort();
				this._endSend(`no resumption, ${status}`);
				this.refuse(broken('streamBroken'));
			}

			return;
		}

		if (this._route!.isResumable && status === 200) {
			this._cutter = EventStreamCutter.create();
		}

		this._res.writeHead(status, this._answerHeaders(headers));
		this._res.flushHeaders();
	}

	/** A server without the adapter is sound; one that refuses for another reason is avoided for a while. */
	private _noteRefusal(server: string, status: number): void {
		const {fleet, clock} = this._context;
		const state = fleet.server(server);
		const key = this._adapterKey;
		if (status === misdirectedStatus && key !== undefined) {
			state?.noteRefusedAdapter(key);
		} else {
			state?.suspect(clock());
		}
	}

	private _answerHeaders(
		headers: IncomingHttpHeaders,
	): Record<string, string | string[]> {
		const passed: Record<string, string | string[]> = {};
		for (const [name, value] of Object.entries(headers)) {
			if (value !== undefined && !connectionHeaders.has(name)) {
				passed[name] = value;
			}
		}

		if (this._context.shutdown() !== undefined) {
			passed.connection = 'close';
		}

		return passed;
	}

	private _onData(chunk: Uint8Array): boolean {
		this._record.noteBytes(this._context.clock());
		if (this._cutter === undefined) {
			return this._write(chunk);
		}

		const {bytes, lastEventId} = this._cutter.push(chunk);
		this._lastEventId = lastEventId ?? this._lastEventId;
		return bytes.length === 0 || this._write(bytes);
	}

	private _write(bytes: Uint8Array): boolean {
		if (this._res.write(bytes)) {
			return true;
		}

		this._res.once('drain', () => {
			this._send?.call?.resume();
		});
		return false;
	}

	private _onEnd(send: Send): void {
		if (!send.hasAnswered) {
			this._onBroken(send, new Error('the answer ended before its head'));
			return;
		}

		this._endSend('answered');
		const rest = this._cutter?.takeRest();
		if (rest !== undefined && rest.length > 0) {
			this._res.write(rest);
		}

		this._end(undefined);
		this._res.end();
	}

	/** The connection broke, or the answer can't be used. */
	private _onBroken(send: Send, err: Error): void {
		this._endSend(`${send.isSent ? 'broke' : 'not sent'}: ${err.message}`);
		this._context.fleet.server(send.server)?.suspect(this._context.clock());
		this._mayHaveRun ||= send.isSent;
		this._cutter?.takeRest();
		if (send.isSent) {
			this._noteSuspect(send.server);
		}

		this._retry(
			send.isSent ? broken('serverBroke') : unavailable('serverUnreachable'),
			!send.isSent || this._isRepeatable,
		);
	}

	/** The server may have died of the request, which then must not be tried on one server after the other. */
	private _noteSuspect(server: string): void {
		const {suspects, peers, clock} = this._context;
		const fingerprint = this._fingerprint;
		suspects.noteCrash([fingerprint], server, clock());
		peers.tellAll({type: 'suspect', fingerprint, server});
	}

	/** Tries another server where that is allowed. */
	private _retry(refusal: CallRefusal, isAllowed: boolean): void {
		const canResume = !this._res.headersSent || this._cutter !== undefined;
		if (
			isAllowed &&
			canResume &&
			this._tried.size < this._route!.maxAttempts &&
			this._context.clock() < this._deadlineAt
		) {
			this._place();
		} else {
			this._giveUp(refusal);
		}
	}

	/** Refuses, and says "not run" only where that is sure. */
	private _giveUp(refusal: CallRefusal): void {
		this.refuse(
			this._mayHaveRun ? {...broken(refusal.reason), isNotRun: false} : refusal,
		);
	}

	private _onDeadline(): void {
		if (this._isEnded) {
			return;
		}

		const {_send: send} = this;
		if (send === undefined) {
			this._giveUp(unavailable(this._record.waitedFor ?? 'deadline'));
			return;
		}

		send.call?.abort();
		if (!send.isSent) {
			this._endSend('not sent: deadline');
			this._giveUp(unavailable('deadline'));
			return;
		}

		this._mayHaveRun = true;
		this._endSend('deadline');
		this._giveUp({status: 504, reason: 'deadline', isNotRun: false});
	}

	/** The caller's connection closed. */
	private _onClosed(): void {
		if (this._isEnded) {
			return;
		}

		this._send?.call?.abort();
		this._mayHaveRun ||= this._send?.isSent ?? false;
		this._endSend('caller left');
		this._end({status: 0, reason: 'callerLeft', isNotRun: !this._mayHaveRun});
	}

	private _endSend(outcome: string): void {
		const {_send: send} = this;
		if (send === undefined) {
			return;
		}

		this._send = undefined;
		clearTimeout(this._turnTimer);
		this._endTurn(send);
		if (send.turnTokens !== undefined) {
			this._context.links.returnTurn(send.server, send.turnTokens);
		}

		this._record.noteSend(send.server, outcome);
		const {fleet, metrics} = this._context;
		const server = fleet.server(send.server);
		server?.noteEnded(this._adapterKey);
		const [word = ''] = outcome.split(':', 1);
		metrics.noteSend(server?.record.service ?? 'gone', word);
		this._context.waiting.wake();
	}

	private _end(refusal: CallRefusal | undefined): void {
		this._isEnded = true;
		clearTimeout(this._timer);
		if (this._waiter !== undefined) {
			this._context.waiting.remove(this._waiter);
		}

		if (this._reservedUnits > 0 && !this._mayHaveRun) {
			this._context.peers.giveBack(this._customer!.name, this._reservedUnits);
		}

		this._log(refusal);
	}

	private _log(refusal: CallRefusal | undefined): void {
		const {clock, log, metrics, proofAgeMs, authority} = this._context;
		const event = this._record.toEvent({
			id: this._facts.callId,
			arrivedAt: this._arrivedAt,
			endedAt: clock(),
			status: refusal?.status ?? this._res.statusCode,
			refusal,
			route: this._route?.name,
			customer: this._customer?.name,
			adapter: this._adapterKey,
			configVersion: authority.inForce?.config.version,
			proofAgeMs: proofAgeMs(),
		});
		log.write(event);
		metrics.noteRequest(event);
	}

	private _unitsOf(customer: CustomerRule): number {
		return customer.isMeteredInTokens
			? (this._facts.tokens ?? customer.plainTokens)
			: 1;
	}

	/** Digest of what is asked and by whom, the same when the request comes again. */
	private get _fingerprint(): string {
		this._knownFingerprint ??= createHash('sha256')
			.update(`${this._customer?.name ?? ''} ${this._req.url ?? ''} `)
			.update(this._body)
			.digest('base64');
		return this._knownFingerprint;
	}

	private get _path(): string {
		const url = this._req.url ?? '/';
		const query = url.indexOf('?');
		return query === -1 ? url : url.slice(0, query);
	}

	private get _priority(): number {
		return this._customer?.priority ?? this._route?.priority ?? 0;
	}

	private get _isRepeatable(): boolean {
		return this._route!.kind === 'idempotent' || this._route!.isResumable;
	}

	private get _adapterKey(): string | undefined {
		const {model, adapter} = this._facts;
		return model !== undefined && adapter !== undefined
			? adapterKey(model, adapter)
			: undefined;
	}
}
