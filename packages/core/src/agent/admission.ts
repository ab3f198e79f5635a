import type {ConfigView} from '../config/types.js';
import type {Refusal} from '../refusal/types.js';
import type {AgentRefusals} from './agent-refusals.js';
import type {CrashWatch} from './crash-watch.js';
import type {QueuedRequest} from './request-queue.js';
import type {Scheduler} from './scheduler.js';
import type {AgentSettings, Dispatch} from './types.js';

/** A refusal by the configuration. */
export type ConfigRefusal = {
	readonly refusal: Refusal;
	/** Version of the entry, where it lacks changes that bear on the request. */
	readonly changesAfter?: number;
};

/** What an admission is created from. */
export type AdmissionOptions = {
	readonly settings: AgentSettings;
	readonly config: () => ConfigView;
	readonly refusals: AgentRefusals;
	readonly crashes: CrashWatch;
	readonly scheduler: Scheduler;
};

/** Finds what stands against running a request here. */
export class Admission {
	static create(options: AdmissionOptions): Admission {
		return new Admission(options);
	}

	private _isHostLeaving = false;
	private _isShuttingDown = false;

	private constructor(private readonly _options: AdmissionOptions) {}

	get isShuttingDown(): boolean {
		return this._isShuttingDown;
	}

	/** Whether new work that nothing else stands against is taken. */
	get isOpen(): boolean {
		const {config, settings, crashes} = this._options;
		const view = config();
		const isOut =
			view.isZoneOut(settings.zone) || view.isServerDrained(settings.server);
		return (
			crashes.isUp && !isOut && !this._isHostLeaving && !this._isShuttingDown
		);
	}

	setHostLeaving(isLeaving: boolean): void {
		this._isHostLeaving = isLeaving;
	}

	shutDown(): void {
		this._isShuttingDown = true;
	}

	/** What the configuration or the list of hosts has against a request. Asked again whenever they change. */
	checkConfiguration(dispatch: Dispatch): ConfigRefusal | undefined {
		const {config, settings, refusals} = this._options;
		const view = config();
		const isBehind = isEntryBehind(dispatch, view, settings);
		const refusal =
			this._checkOperatingState(dispatch, view) ??
			(isBehind ? refusals.configurationBehind() : undefined);
		return (
			refusal && {
				refusal,
				...(isBehind && {changesAfter: dispatch.configVersion}),
			}
		);
	}

	/** What else stands against a new request. */
	checkNew(request: QueuedRequest, now: number): Refusal | undefined {
		return this._checkState(request, now) ?? this._checkDeadline(request, now);
	}

	private _checkOperatingState(
		{keyId}: Dispatch,
		view: ConfigView,
	): Refusal | undefined {
		const {settings, refusals} = this._options;
		if (keyId !== undefined && view.isKeyWithdrawn(keyId)) {
			return refusals.withdrawnKey();
		}

		if (view.isZoneOut(settings.zone)) {
			return refusals.zoneOut();
		}

		const isLeaving =
			this._isHostLeaving || view.isServerDrained(settings.server);
		return isLeaving ? refusals.serverLeaving() : undefined;
	}

	private _checkState(
		{dispatch, servedName}: QueuedRequest,
		now: number,
	): Refusal | undefined {
		const {settings, refusals, crashes, scheduler} = this._options;
		if (this._isShuttingDown) {
			return refusals.shuttingDown();
		}

		if (!isServedBy(dispatch, settings)) {
			return refusals.wrongBackend();
		}

		const quarantinedMs = crashes.quarantinedForMs(dispatch.fingerprint, now);
		if (quarantinedMs > 0) {
			return refusals.quarantined(quarantinedMs);
		}

		if (!crashes.isUp) {
			return refusals.backendDown();
		}

		const failingMs =
			servedName === undefined
				? 0
				: scheduler.loader.failingForMs(servedName, now);
		return failingMs > 0 ? refusals.loadFailed(failingMs) : undefined;
	}

	private _checkDeadline(
		request: QueuedRequest,
		now: number,
	): Refusal | undefined {
		const {refusals, scheduler} = this._options;
		if (request.deadlineAt <= now) {
			return refusals.deadlineExceeded(0);
		}

		const {estimate} = scheduler;
		const startAt = now + estimate.startMs(request, now);
		return estimate.isReliable && startAt > request.deadlineAt
			? refusals.deadlineUnreachable(startAt - request.deadlineAt)
			: undefined;
	}
}

/** Whether a change that the entry did not know bears on its dispatch. */
function isEntryBehind(
	dispatch: Dispatch,
	view: ConfigView,
	settings: AgentSettings,
): boolean {
	return (
		dispatch.configVersion < view.version &&
		subjectsOf(dispatch, settings).some(
			subject => view.lastTouched(subject) > dispatch.configVersion,
		)
	);
}

/** Whether the backend server serves what the dispatch asks for. */
function isServedBy({target}: Dispatch, {backend}: AgentSettings): boolean {
	return target.kind === 'service'
		? backend.kind === 'service' && backend.service === target.service
		: backend.kind === 'engine';
}

/** Subjects of the configuration that bear on a dispatch. */
function subjectsOf(
	{customer, keyId, route, target}: Dispatch,
	{zone, server}: AgentSettings,
): readonly string[] {
	const subjects = [`customer:${customer}`, `zone:${zone}`, `server:${server}`];
	if (keyId !== undefined) {
		subjects.push(`key:${keyId}`);
	}

	if (route !== undefined) {
		subjects.push(`route:${route}`);
	}

	subjects.push(
		target.kind === 'adapter'
			? `adapter:${target.adapter}`
			: `route:${target.route}`,
	);
	return subjects;
}
