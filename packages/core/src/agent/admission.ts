import type {ConfigView} from '../config/types.js';
import type {Refusal} from '../refusal/types.js';
import type {AgentRefusals} from './agent-refusals.js';
import type {BackendMonitor} from './backend-monitor.js';
import type {QueuedRequest} from './request-queue.js';
import type {Scheduler} from './scheduler.js';
import type {AgentSettings, Dispatch} from './types.js';

/** A refusal based on the configuration or the host state. */
export type ConfigRefusal = {
	readonly refusal: Refusal;
	/** Configuration version of the entry, set if the entry lacks changes that affect the request. */
	readonly changesAfter?: number;
};

/** Options of `Admission.create`. */
export type AdmissionOptions = {
	readonly settings: AgentSettings;
	readonly config: () => ConfigView;
	readonly refusals: AgentRefusals;
	readonly monitor: BackendMonitor;
	readonly scheduler: Scheduler;
};

/** Checks whether the agent may accept or keep a request. */
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

	/** Whether the agent accepts new work in general. It may still refuse single requests. */
	get isOpen(): boolean {
		const {config, settings, monitor} = this._options;
		const view = config();
		const isOutOfService =
			view.isZoneOut(settings.zone) || view.isServerDrained(settings.server);
		return (
			monitor.isUp &&
			!isOutOfService &&
			!this._isHostLeaving &&
			!this._isShuttingDown
		);
	}

	setHostLeaving(isLeaving: boolean): void {
		this._isHostLeaving = isLeaving;
	}

	shutDown(): void {
		this._isShuttingDown = true;
	}

	/** Checks a request against the configuration and the host state. Repeated for waiting requests when either changes. */
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

	/** Checks a new request against the state of the agent and its backend server, and against the deadline. */
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
		const {settings, refusals, monitor, scheduler} = this._options;
		if (this._isShuttingDown) {
			return refusals.shuttingDown();
		}

		if (!isServedBy(dispatch, settings)) {
			return refusals.wrongBackend();
		}

		const quarantinedMs = monitor.remainingQuarantineMs(
			dispatch.fingerprint,
			now,
		);
		if (quarantinedMs > 0) {
			return refusals.quarantined(quarantinedMs);
		}

		if (!monitor.isUp) {
			return refusals.backendDown();
		}

		const backoffMs =
			servedName === undefined
				? 0
				: scheduler.loader.remainingBackoffMs(servedName, now);
		return backoffMs > 0 ? refusals.loadFailed(backoffMs) : undefined;
	}

	private _checkDeadline(
		request: QueuedRequest,
		now: number,
	): Refusal | undefined {
		const {refusals, scheduler} = this._options;
		if (request.deadlineAt <= now) {
			return refusals.deadlineExceeded(0);
		}

		const {estimator} = scheduler;
		const startAt = now + estimator.timeToStartMs(request, now);
		return estimator.isReliable && startAt > request.deadlineAt
			? refusals.deadlineUnreachable(startAt - request.deadlineAt)
			: undefined;
	}
}

/** Whether the entry lacked a configuration change that affects its dispatch. */
function isEntryBehind(
	dispatch: Dispatch,
	view: ConfigView,
	settings: AgentSettings,
): boolean {
	return (
		dispatch.configVersion < view.version &&
		subjectsOf(dispatch, settings).some(
			subject => view.lastChangeVersion(subject) > dispatch.configVersion,
		)
	);
}

/** Whether the backend server serves the target of the dispatch. */
function isServedBy({target}: Dispatch, {backend}: AgentSettings): boolean {
	return target.kind === 'service'
		? backend.kind === 'service' && backend.service === target.service
		: backend.kind === 'engine';
}

/** Returns the configuration subjects whose changes affect a dispatch. */
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
