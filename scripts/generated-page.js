import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

/** Writes a generated page. With `--check`, only compares it and sets the exit code to 1 if it is out of date. */
export function writeOrCheck(page, text) {
	if (!process.argv.includes('--check')) {
		writeFileSync(page, text);
		return;
	}

	if (readFileSync(page, 'utf8') !== text) {
		console.error(`${page} is out of date: run npm run docs:generate`);
		process.exitCode = 1;
	}
}
