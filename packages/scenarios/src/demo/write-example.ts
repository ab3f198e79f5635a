/** Writes the example document to the file named on the command line. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {createExampleDocument} from './example-document.js';

const [file] = process.argv.slice(2);
if (file === undefined) {
	process.stderr.write('usage: write-example.js FILE\n');
	process.exitCode = 2;
} else {
	writeFileSync(file, createExampleDocument());
}
