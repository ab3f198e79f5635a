import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Whether the disruption is to be brought about. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The record of a run: what was sent, answered and run, with the time since its start in milliseconds. */
export class Record {
	#startedAt = Date.now();
	#lines = [];
	#file;

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
	}

	get elapsedMs() {
		return Date.now() - this.#startedAt;
	}

	note(line) {
		this.#lines.push(`${this.elapsedMs} ${line}`);
	}

	write() {
		writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}

/**
 * Plays a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param play resolves with whether the rule held; gets the record and a list of things to close
 */
export async function main(folder, play) {
	const record = new Record(folder);
	const toClose = [];
	let code = 2;
	const timer = setTimeout(() => {
		record.note('the run takes too long');
		finish();
	}, 110_000);
	const finish = () => {
		clearTimeout(timer);
		for (const item of toClose) {
			item.close();
		}

		record.note(`exit ${code}`);
		record.write();
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(code);
	};

	try {
		code = (await play(record, toClose)) ? 0 : 1;
	} catch (error) {
		record.note(`could not run: ${error.stack}`);
		console.error(error);
	}

	finish();
}
