'use strict';

const fs = require('node:fs');
const path = require('node:path');

// Titles in KNOWN-RED.txt ("test: <title>") are excluded from the run and printed by .ci/run.
const file = path.join(__dirname, 'KNOWN-RED.txt');
const lines = fs.existsSync(file) ? fs.readFileSync(file, 'utf8').split('\n') : [];
const titles = lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim());
const escaped = titles.map(title => title.replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`));

module.exports = {
	require: ['tsx', './test/setup.ts'],
	timeout: 60_000,
	reporter: './build/reporter.cjs',
	exit: true,
	...(escaped.length > 0 ? {grep: new RegExp(`^(?:${escaped.join('|')})$`), invert: true} : {}),
};
