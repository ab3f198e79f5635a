import {Logger as TsLogger, type ILogObjMeta, type IMeta} from 'tslog';
import type {Logger} from '../common/types.js';

/** Minimum level of the lines that are written. */
export type LogLevel = 'info' | 'warn' | 'error';

/** Numeric levels of tslog. */
const minLevels = {info: 3, warn: 4, error: 5} as const;

type Fields = Readonly<Record<string, unknown>>;

/** Copies the fields from the second argument of a log call. Any other value gives no fields. */
function fieldsOf(value: unknown): Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null ? {...value} : {};
}

/** Writes one JSON line per log call. */
export class JsonLogger implements Logger {
	static create(
		level: LogLevel,
		hostId: string,
		write: (line: string) => void,
	): JsonLogger {
		return new JsonLogger(level, hostId, write);
	}

	private readonly _logger: TsLogger<unknown>;

	private constructor(
		level: LogLevel,
		private readonly _hostId: string,
		write: (line: string) => void,
	) {
		this._logger = new TsLogger<unknown>({
			type: 'hidden',
			minLevel: minLevels[level],
			hideLogPositionForProduction: true,
		});
		this._logger.attachTransport(record => {
			write(this._lineOf(record));
		});
	}

	info(event: string, fields: Fields = {}): void {
		this._logger.info(event, fields);
	}

	warn(event: string, fields: Fields = {}): void {
		this._logger.warn(event, fields);
	}

	error(event: string, fields: Fields = {}): void {
		this._logger.error(event, fields);
	}

	private _lineOf(record: ILogObjMeta): string {
		const meta = record._meta!;
		return JSON.stringify({
			time: meta.date.toISOString(),
			level: meta.logLevelName.toLowerCase(),
			host: this._hostId,
			event: record['0'],
			...fieldsOf(record['1']),
		});
	}
}
