import {RetryAllowance, type RetryLimit} from '@balsamtray/core';
import type {DirectMetrics} from './direct-metrics.js';
import type {EventLog} from './event-log.js';

export type ServiceRetriesOptions = {
	readonly clock: () => number;
	readonly limit: () => RetryLimit;
	readonly isFirstStart: boolean;
	/** Number of entries that were known within a time, in milliseconds, including this one; undefined if it is not known. */
	readonly entryCount: (withinMs: number) => number | undefined;
	readonly log: Pick<EventLog, 'write'>;
	readonly metrics: Pick<DirectMetrics, 'noteRetry'>;
};

type Service = {
	readonly allowance: RetryAllowance;
	/** Whether the last retry was refused. */
	isUsedUp: boolean;
};

/** This entry's retries of requests, limited by service. */
export class ServiceRetries {
	static create(options: ServiceRetriesOptions): ServiceRetries {
		return new ServiceRetries(options);
	}

	private readonly _services = new Map<string, Service>();
	private readonly _startedAt: number;

	private constructor(private readonly _options: ServiceRetriesOptions) {
		this._startedAt = _options.clock();
	}

	/** Counts a request that is sent to the service for the first time. */
	noteRequest(name: string): void {
		this._service(name).allowance.noteRequest(this._options.clock());
	}

	/** Takes one retry, to be sent or given back. Returns whether the limit allowed it. */
	tryTake(name: string): boolean {
		const {clock, metrics} = this._options;
		const service = this._service(name);
		const isTaken = service.allowance.tryTake(this._entryCount, clock());
		metrics.noteRetry(name, isTaken ? 'taken' : 'refused');
		if (service.isUsedUp === isTaken) {
			service.isUsedUp = !isTaken;
			this._logChange(name, service);
		}

		return isTaken;
	}

	noteSent(name: string): void {
		this._service(name).allowance.noteSent(this._options.clock());
	}

	/** Gives back a retry that is not sent. */
	giveBack(name: string): void {
		this._service(name).allowance.giveBack();
		this._options.metrics.noteRetry(name, 'returned');
	}

	private _logChange(name: string, {allowance, isUsedUp}: Service): void {
		const {log, clock} = this._options;
		const entries = this._entryCount;
		log.write({
			event: 'retryAllowance',
			service: name,
			isUsedUp,
			...allowance.counts(clock()),
			...(entries !== undefined && {entries}),
		});
	}

	private get _entryCount(): number | undefined {
		const {entryCount, limit} = this._options;
		return entryCount(limit().windowMs);
	}

	private _service(name: string): Service {
		const known = this._services.get(name);
		if (known !== undefined) {
			return known;
		}

		const {limit, isFirstStart} = this._options;
		const allowance = RetryAllowance.create({
			limit,
			startedAt: this._startedAt,
			isFirstStart,
		});
		const service = {allowance, isUsedUp: false};
		this._services.set(name, service);
		return service;
	}
}
